"""Bodies of HTTP answers in every framing that the platform's protocol allows."""

FRAMINGS = ("length", "chunked", "close")


def frame(framing, parts):
    """Return the header lines and the bytes of a body.

    A body whose framing is "close" ends with its connection.
    """
    body = b"".join(parts)
    match framing:
        case "length":
            return f"Content-Length: {len(body)}\r\n", body
        case "chunked":
            chunks = [b"%x\r\n%s\r\n" % (len(part), part) for part in parts]
            return "Transfer-Encoding: chunked\r\n", b"".join(chunks) + b"0\r\n\r\n"
        case _:
            return "", body
