"""Headers that describe a request's prompt."""

__all__ = ["shared_parts", "token_sum"]


def shared_parts(text: str) -> tuple[str, ...]:
    """Return the ids of all parts of a prompt but its last one.

    The last part belongs to this request alone.

    Examples
    --------
    >>> shared_parts("5c1e:800,91bd:410,e440:250")
    ('5c1e', '91bd')
    """
    parts = [part.partition(":")[0].strip() for part in text.split(",")]
    return tuple(part for part in parts[:-1] if part)


def token_sum(text: str) -> int:
    """Return the sum of prompt and output tokens; 0 if invalid.

    Examples
    --------
    >>> token_sum("1460,80"), token_sum("")
    (1540, 0)
    """
    numbers = [part.strip() for part in text.split(",")]
    if not all(number.isdigit() for number in numbers):
        return 0
    return sum(map(int, numbers))
