"""Small stand-ins for the systems that carawaydoor talks to; never imported by the product."""
