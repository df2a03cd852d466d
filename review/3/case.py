"""A queue goes to another service; then the leader's zone is cut off.

The zone of the leader holds a worker of the old service, which runs a task of
that queue. A cut zone is cut from the other zones and from the store; the
leader still reaches the worker.
"""
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "lib"))
import standin  # noqa: E402

JOB = "5c0e7a21d94b36f8"
CUT_S = 5.5
SERVICES = [{"name": "intake", "admissionCheck": True},
            {"name": "drafting", "admissionCheck": True}]
TENANTS = [{"name": "t1", "weight": 1, "apiKeys": ["key-1"],
            "maximum": {"cpu": 64000}}]


def route(service):
    return {"name": "checks", "host": "desk.example", "prefix": "/checks/",
            "service": service, "priority": 0, "maxAttempts": 3, "stretch": 2,
            "targetCompletionMs": 600, "timeoutMs": 3000}


def run(site):
    site.configure([route("intake")], SERVICES, TENANTS)
    site.add_entries(["zone-a", "zone-b", "zone-c"])
    site.wait_until_ready()
    leader = site.leader()
    others = [e.zone for e in site.entries if e is not leader]
    old = site.add_worker("i-1", "intake", zone=leader.zone)
    for n, zone in enumerate(others):
        site.add_worker("i-%d" % (n + 2), "drafting", zone=zone)
    time.sleep(1)
    site.submit("/checks/", JOB, {
        "spec": "ms=14000",
        "steps": [{"count": 2, "cpu": 2000, "memMb": 1024,
                   "estimatedMs": 14000}]})
    time.sleep(1)
    site.configure([route("drafting")], SERVICES, TENANTS)
    time.sleep(2.5)
    if site.is_troubled:
        if site.leader() is not leader:
            raise standin.CannotRun("the leader has changed")
        # The other zones' machines reach neither the zone's worker nor its
        # entry; the entry does not reach the store. The worker tells the
        # callers apart by their fencing tokens: a new leader is elsewhere.
        token = old.fencing_token
        leader.door.is_cut = True
        old.is_silent_to = lambda t: t > token
        site.record.add("%s is cut off: %s and i-1" % (leader.zone,
                                                        leader.name))
        # The store drops the worker's entry after three heartbeats of 1.5 s.
        time.sleep(4.5)
        site.store.operator_delete("servers/i-1")
        time.sleep(CUT_S - 4.5)
        leader.door.is_cut = False
        old.is_silent_to = None
        old.register()
        site.record.add("%s is connected again" % leader.zone)
    time.sleep(14 + standin.FINISH_S)
    state = site.wait_for("/checks/", JOB, ("done",), 10)
    if state != "done":
        site.broken("LOST", "the accepted job is %s" % state)
    standin.check_twice(site)


standin.main(run, __file__)
