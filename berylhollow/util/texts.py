"""Checks of text that comes from outside."""


def is_encodable(text: str) -> bool:
    """Return whether a string has no lone surrogates.

    The HTTP library decodes bytes that are not UTF-8 to them, and JSON can
    escape them. They can't be hashed or sent over links.
    """
    if text.isascii():
        return True
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True
