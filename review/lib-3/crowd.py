"""A crowd of clients: each sends a request every `period` seconds on its own connection, and reads no answer.

Usage: crowd.py PORT CONNECTIONS SECONDS PERIOD PATH. Prints one JSON line a second.
"""
import json
import socket
import sys
import time

port, count = int(sys.argv[1]), int(sys.argv[2])
seconds, period, path = float(sys.argv[3]), float(sys.argv[4]), sys.argv[5]
end = time.monotonic() + seconds
due = {}
totals = {"made": 0, "sent": 0, "closed": 0}
report = time.monotonic() + 1
while time.monotonic() < end:
    now = time.monotonic()
    for _ in range(min(200, count - len(due))):
        s = socket.socket()
        s.setblocking(False)
        s.connect_ex(("127.0.0.1", port))
        due[s] = now + 0.05
        totals["made"] += 1
    for s, at in list(due.items()):
        if at > now:
            continue
        head = (f"GET {path} HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: c{totals['sent']}\r\n"
                "X-Request-Deadline: 1500\r\n\r\n")
        try:
            s.send(head.encode())
            totals["sent"] += 1
            due[s] = now + period
        except BlockingIOError:
            due[s] = now + period
        except OSError:
            s.close()
            del due[s]
            totals["closed"] += 1
    if now >= report:
        report = now + 1
        print(json.dumps(totals), flush=True)
    time.sleep(0.01)
