#!/bin/sh
# Runs a small site on loopback and demonstrates its functions: two data centres
# with two entries each, a platform and four workers, each a process of its own.
set -eu
cd "$(dirname "$0")/.."
. scripts/site.sh
trap abort_site EXIT

title() { printf '\n== %s\n' "$*"; }

title "start platform, workers and four entries"
start_site
echo "processes: $(echo "$PIDS" | wc -w), logs in $SITE_DIR"

title "operators create two teams and grant each a key"
ctl team set errata --share 2 --limit 12
ctl team set verify --share 1 --limit 8
KEY1=$(ctl key grant errata --label desk | sed -n 's/^key: *//p')
KEY2=$(ctl key grant verify --label desk | sed -n 's/^key: *//p')
[ -n "$KEY1" ] && [ -n "$KEY2" ]
ctl preset peak

title "short work of both teams, through two entries"
submit 1 "$KEY1" "run_ms=20 echo=first" -H "Request-Id: demo-1"
echo
submit 3 "$KEY2" "run_ms=20 echo=second" -H "Request-Id: demo-2"
echo

title "the same request identifier through another entry does not run again"
submit 2 "$KEY1" "run_ms=20 echo=first" -H "Request-Id: demo-1"
echo

title "long work: accepted, then status and result"
JOB=$(submit 2 "$KEY1" "run_ms=3000 steps=10 echo=register" \
	-H "Work: long" -H "Idempotent: yes" | sed 's/.*"job":"\([^"]*\)".*/\1/')
echo "job $JOB"
job_get() {
	curl -sS -H "Authorization: Bearer $KEY1" \
		"http://127.0.0.1:$(front_port 1)/v1/jobs/$JOB$1"
}
job_done() { job_get "" | grep -q '"state":"done"'; }
job_get ""
echo
wait_for 15 job_done
job_get /result
echo

title "the trace of one request, hop by hop"
TRACE=0af7651916cd43dd8448eb211c80319c
submit 1 "$KEY1" "run_ms=5 echo=traced" \
	-H "traceparent: 00-$TRACE-b7ad6b7169203331-01"
echo
sleep 0.2
cat "$SITE_DIR"/e?.log | grep "trace=$TRACE" | grep event=span | sort |
	sed 's/^.*task=\([a-z]*\).*name=\([a-z_]*\).*span=\([0-9a-f]*\) parent=\([0-9a-f]*\).*duration_us=\([0-9]*\) result=\(.*\)$/\1 \2 span=\3 parent=\4 duration_us=\5 result=\6/'

title "status"
ctl status

title "a key is withdrawn"
ctl key withdraw errata --label desk
for e in 1 2 3 4; do
	submit $e "$KEY1" "run_ms=5"
	echo
done

title "stop everything gracefully"
stop_site
trap - EXIT
[ -n "${KEEP:-}" ] || rm -rf "$SITE_DIR"
echo "all entries exited with status 0"
