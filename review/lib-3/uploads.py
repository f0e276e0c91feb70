"""A crowd of clients with legal requests. Some ask for a download, send an upload ahead behind it and read no
answer; others send an upload and stop just short of its end.

Usage: uploads.py PORT SECONDS READERS UPLOADERS AHEAD_BYTES BODY_BYTES MBIT_PER_S DOWNLOAD UPLOAD, the last two
being paths. Prints JSON lines.
"""
import json
import socket
import sys
import time

port, seconds, readers, uploaders = int(sys.argv[1]), float(sys.argv[2]), int(sys.argv[3]), int(sys.argv[4])
ahead_bytes, body_bytes, rate = int(sys.argv[5]), int(sys.argv[6]), float(sys.argv[7]) * 1e6 / 8
download, upload = sys.argv[8], sys.argv[9]
READERS_PER_S = 900
number = 0


def head(method, path, length=0):
    global number
    number += 1
    fields = f"Content-Length: {length}\r\n" if length else ""
    return (f"{method} {path} HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: u{number}\r\n"
            f"X-Request-Deadline: 6000\r\n{fields}\r\n").encode()


def connect(data, small):
    s = socket.socket()
    if small:
        # The small windows of a client that reads slowly.
        s.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        s.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 536)
    s.setblocking(False)
    s.connect_ex(("127.0.0.1", port))
    conns.append([s, memoryview(data)])


conns = []
begun = report = time.monotonic()
sent = closed = made = 0
while (now := time.monotonic()) < begun + seconds:
    while made < min(readers, (now - begun) * READERS_PER_S):
        made += 1
        connect(head("GET", download) + head("POST", upload, ahead_bytes) + b"y" * ahead_bytes, True)
    if made >= readers:
        while made < readers + uploaders:
            made += 1
            connect(head("POST", upload, body_bytes) + b"y" * (body_bytes - 1), False)
    for conn in conns:
        if sent > rate * (time.monotonic() - begun):
            break
        s, rest = conn
        if not rest:
            continue
        try:
            done = s.send(rest[:65536])
            sent += done
            conn[1] = rest[done:]
        except BlockingIOError:
            pass
        except OSError:
            conn[1] = rest[:0]
            closed += 1
    if now >= report:
        report = now + 1
        print(json.dumps({"connections": made, "failed to send": closed, "requests": number, "bytes sent": sent}),
              flush=True)
    time.sleep(0.005)
