"""The bytes of invalid requests, by the name of the case."""

import gzip

from stoatpath.utils import encode_json

SECRET = "reef-villages.reef-villages-sample-secret"
MAX_BODY_BYTES = 20_000
MAX_HEAD_BYTES = 4_000


def completion(**changes):
    """Return the body of a valid chat completion, with changes."""
    body = {
        "model": "desk-assist",
        "messages": [
            {"role": "system", "content": "Be brief."},
            {"role": "user", "content": "High tide?"},
        ],
    }
    return encode_json({**body, **changes})


def request(
    body=None,
    method="POST",
    path="/v1/chat/completions",
    key=f"Bearer {SECRET}",
    headers=(),
    length=None,
):
    """Return the bytes of one request; the defaults make a valid one."""
    body = completion() if body is None else body
    lines = [f"{method} {path} HTTP/1.1".encode("latin-1"), b"Host: stoatpath"]
    if key is not None:
        lines.append(b"Authorization: " + key.encode("latin-1"))
    if length is not False:
        lines.append(f"Content-Length: {length or len(body)}".encode())
    lines += [header.encode("latin-1") for header in headers]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def chunked(chunks, *headers):
    """Return the bytes of a request with a chunked body."""
    body = b"".join(b"%x\r\n%s\r\n" % (len(chunk), chunk) for chunk in chunks)
    headers = ("Transfer-Encoding: chunked", *headers)
    return request(body + b"0\r\n\r\n", headers=headers, length=False)


def messages(**changes):
    """Return a completion whose second message is changed."""
    first = {"role": "user", "content": "High tide?"}
    return completion(messages=[first, {**first, **changes}])


def _compressed(data):
    return chunked([data], "Content-Encoding: gzip")


BODY_CASES = {
    "a body that is not JSON": request(b"{model: tide}"),
    "a JSON list": request(b"[1, 2]"),
    "an empty body": request(b"", length=0),
    "a body not in UTF-8": request(b'{"model": "\xff\xfe"}'),
    "JSON nested too deep": request(b"[" * 9_000 + b"]" * 9_000),
    "a lone surrogate": request(b'{"model": "\\ud800"}'),
    "an unknown service": request(completion(model="no-such")),
    "a service not allowed": request(completion(model="stoat-llm")),
    "a model that is a number": request(completion(model=7)),
    "no messages": request(completion(messages=[])),
    "a role that is an object": request(
        completion(messages=[{"role": {}, "content": "x"}])
    ),
    "content that is a number": request(messages(content=7)),
    "a stream flag as text": request(completion(stream="yes")),
    "too many tokens": request(completion(max_tokens=10**17)),
    "a reserved name": request(completion(resume_from=5)),
    "a declared oversized body": request(b"x", length=MAX_BODY_BYTES + 1),
    "a chunked oversized body": chunked([b"x" * 1_000] * 21),
    "a compressed oversized one": _compressed(gzip.compress(b" " * 10**6)),
    "a broken compressed body": _compressed(b"this is not gzip"),
    "broken chunk framing": request(
        b"zz\r\nxx\r\n", headers=["Transfer-Encoding: chunked"], length=False
    ),
    "a slow body": request(b"{", length=100),
    "a multipart body": request(headers=["Content-Type: multipart/form-data"]),
    "the charset utf-16": request(headers=["Content-Type: text/json; charset=utf-16"]),
}
HEADER_CASES = {
    "no key": request(key=None),
    "an unknown key": request(key="Bearer nobody.secret"),
    "a wrong secret": request(key="Bearer reef-villages.wrong"),
    "another scheme": request(key="Basic cmVlZg=="),
    "two keys": request(headers=[f"Authorization: Bearer {SECRET}"]),
    "a key that is not ASCII": request(key="Bearer reef-villages.\xff\xfe"),
    "two idempotency keys": request(headers=["Idempotency-Key: a"] * 2),
    "an empty idempotency key": request(headers=["Idempotency-Key:"]),
    "a long idempotency key": request(headers=["Idempotency-Key: " + "k" * 256]),
    "two sessions": request(headers=["Stoatpath-Session: a"] * 2),
    "a session with a space": request(headers=["Stoatpath-Session: a b"]),
    "a timeout that is text": request(headers=["Stoatpath-Timeout-Ms: soon"]),
    "a timeout of zero": request(headers=["Stoatpath-Timeout-Ms: 0"]),
    "a timeout too long": request(headers=["Stoatpath-Timeout-Ms: 999999999"]),
    "an unknown purpose": request(headers=["Stoatpath-Purpose: fun"]),
    "an oversized header": request(headers=["X-Large: " + "x" * 5_000]),
    "an endless head": b"POST / HTTP/1.1\r\n"
    + (b"X-More: " + b"1" * 100 + b"\r\n") * 60,
    "too many headers": request(headers=["A: 1"] * 150),
    "a slow head": b"POST /v1/chat",
    "bytes that are not HTTP": b"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n",
    "two content lengths": request(headers=["Content-Length: 5"]),
    "a length and chunks": request(headers=["Transfer-Encoding: chunked"]),
    "a header with no colon": request(headers=["Nonsense"]),
}
PATH_CASES = {
    "a completion by GET": request(method="GET"),
    "a call by TRACE": request(method="TRACE", path="/services/booking-desk/x"),
    "an unknown path": request(path="/v2/nothing"),
    "a path that is not ASCII": request(path="/services/booking-desk/\xe9"),
    "an unknown plain service": request(path="/services/no-such/x"),
    "a model as plain service": request(path="/services/desk-assist/x"),
}
CASES = {**BODY_CASES, **HEADER_CASES, **PATH_CASES}
