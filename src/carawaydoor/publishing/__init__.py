"""The project's own configuration: named objects, checked as a whole and published in revisions."""
