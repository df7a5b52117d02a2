"""Command-line tool ``waxwingford`` for operators."""
