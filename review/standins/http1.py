"""A small HTTP/1.1 server and client, with control over every byte of an answer."""

import asyncio
import json
import urllib.parse


class Request:
    """A request with its whole body."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.path, _, query = target.partition("?")
        self.query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        self.headers = headers
        self.body = body

    def header(self, name):
        return self.headers.get(name.lower())


async def read_head(reader):
    """Returns the first line and the headers; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        body += (await reader.readexactly(size + 2))[:size]
        if size == 0:
            return body


async def read_request(reader):
    """Returns the next request; None at the end of the connection."""
    head = await read_head(reader)
    if head is None:
        return None
    first, headers = head
    method, target, _ = first.split(" ", 2)
    try:
        if "chunked" in headers.get("transfer-encoding", ""):
            body = await read_chunks(reader)
        else:
            body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, headers, body)


REASONS = {200: "OK", 202: "Accepted", 404: "Not Found", 409: "Conflict", 410: "Gone",
           412: "Precondition Failed", 421: "Misdirected Request",
           503: "Service Unavailable"}


def answer_bytes(status, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def json_bytes(status, document, headers=()):
    body = json.dumps(document).encode()
    return answer_bytes(status, body, [("Content-Type", "application/json"), *headers])


async def call(address, method, target, headers=(), body=b"", timeout_s=10.0):
    """Sends one request over a new connection.

    Returns status, headers and body. Raises OSError, EOFError or TimeoutError without a whole answer.
    """
    return await asyncio.wait_for(exchange(address, method, target, headers, body), timeout_s)


async def exchange(address, method, target, headers, body):
    host, port = address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await writer.drain()
        head = await read_head(reader)
        if head is None:
            raise EOFError("no answer")
        first, answer_headers = head
        status = int(first.split(" ")[1])
        if "chunked" in answer_headers.get("transfer-encoding", ""):
            answer_body = await read_chunks(reader)
        elif "content-length" in answer_headers:
            answer_body = await reader.readexactly(int(answer_headers["content-length"]))
        else:
            answer_body = await reader.read()
        return status, answer_headers, answer_body
    finally:
        writer.close()
