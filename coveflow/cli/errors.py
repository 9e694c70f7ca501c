"""Errors that the user of the command line can correct."""


class UserError(Exception):
    """The message says what is wrong and how to correct it; the exit status is 2."""
