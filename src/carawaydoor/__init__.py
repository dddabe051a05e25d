"""Router for language models that are served by separate prefill and decode pools."""
