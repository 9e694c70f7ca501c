"""What a user of the toolbox can put right."""


class UserError(Exception):
    """The text says what is wrong and how to put it right; the exit status is 2."""
