#!/bin/sh
# At-most-once execution with lost requests and replies, with and without a
# request id, through several VMs and across a failover.
set -u
cd "$(dirname "$0")/../.." || exit 1
. tests/process/lib.sh
fleet

write "put n 0"
ok "a write is done" answered 200 '"outcome":"done"'

control quotes_1 '{"drop_replies":1}'
ID=r1
write "increment n 1"
ok "reply lost, with a request id: done" answered 200 '"outcome":"done"'
ok "reply lost, with a request id: ran once, read at another VM" holds n 1 v2
V=v2
write "increment n 1"
ok "the same id through another VM: done" answered 200 '"outcome":"done"'
ok "the same id: the answer of the first run" \
    grep -q '"value": *"\{0,1\}1[^0-9]' "$T/body"
ok "the same id: ran once" holds n 1 v3
write "increment n 2"
ok "the id with another body: 409" answered 409 '"outcome":"not_run"'
ok "the id with another body: the code is request_id_reused" \
    answered 409 '"code":"request_id_reused"'
ok "the id with another body: not run" holds n 1 v3

V=v1 ID=
control quotes_1 '{"drop_replies":1}'
write "increment n 1"
ok "reply lost, without an id: unknown" answered 504 '"outcome":"unknown"'
ok "reply lost, without an id: ran once" holds n 2 v2

control quotes_1 '{"drop_requests":1}'
write "increment n 1"
lost=$CODE
n=$(V=v2; value n)
ok "request lost, without an id: unknown and not run, or done and run" \
    is "$lost $n" "$([ "$lost" = 200 ] && echo 200 3 || echo 504 2)"
control quotes_1 '{"drop_requests":1}'
ID=r2
write "increment m 1"
ok "request lost, with an id: done" answered 200 '"outcome":"done"'
ok "request lost, with an id: ran once" holds m 1 v2

# Several replies to one write are lost.
control quotes_1 '{"drop_replies":0,"drop_requests":0}'
ID=
write "put p 0"
ID=r3
control quotes_1 '{"drop_replies":2}'
write "increment p 1"
case $CODE in
200) ok "two replies lost: done" answered 200 '"outcome":"done"' ;;
*) ok "two replies lost: unknown" answered 504 '"outcome":"unknown"' ;;
esac
again() {
	write "increment p 1"
	[ "$CODE" = 200 ]
}
V=v3
ok "two replies lost, retried with the id: done" eventually 50 again
ok "two replies lost: ran exactly once" holds p 1 v2

# The same id after a failover.
V=v1 ID=r4
write "increment q 7"
ok "a write with an id before the failover" answered 200 '"outcome":"done"'
kill -KILL "$PID_quotes_1"
V=v3
same() {
	write "increment q 7"
	[ "$CODE" = 200 ]
}
ok "the id at another VM after the failover: done" eventually 70 same
ok "the id after the failover: the answer of the first run" \
    grep -q '"value": *"\{0,1\}7[^0-9]' "$T/body"
ok "the id after the failover: ran exactly once" holds q 7 v2
ok "after the failover: the earlier write ran once" holds p 1 v1
write "increment q 8"
ok "the id with another body after the failover: 409" \
    answered 409 '"code":"request_id_reused"'
finish
