"""A zone is evacuated, taken back and evacuated again while one controller is frozen. See claim.txt."""
import os, signal, sys, threading, time
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
from fleet import CannotRun, TIMERS, ZONES, main, until
from standins import Runner, ask, configuration, order, replace, route

FREEZE_S = 3.5
FROZEN = int(os.environ.get("FROZEN", "1")) - 1  # which core machine freezes
ZONE = ZONES[1]


def test(fleet, record, trouble):
    for i in range(3):
        fleet.start_core(i, True)
    access = [fleet.start_access(i) for i in range(3)]
    text = configuration(1, [route("/dose/", "tint-dispatch", routeType="safe", maxAttempts=2)], ["tint-dispatch"])
    until(20, lambda: replace(fleet, record, 0, text)[0] == 200, "the first configuration is not taken")
    runners = [Runner(fleet, record, "i-%s" % zone, "tint-dispatch", (fleet.ip(4, i + 1), 8080), zone)
               for i, zone in enumerate(ZONES)]
    for k, front in enumerate(access):
        until(20, lambda: ask(front, "warm-%d-%d" % (k, time.monotonic_ns()), "/dose/1")[0] == 200, "nothing is served")
    time.sleep(3)

    stopped, sent = threading.Event(), {}

    def client(k):
        n = 0
        while not stopped.is_set():
            attempt = "c%d-%d" % (k, n)
            sent[attempt] = time.monotonic()
            ask(access[k], attempt, "/dose/1")
            n += 1
            time.sleep(0.05)

    clients = [threading.Thread(target=client, args=(k,), daemon=True) for k in range(3)]
    for thread in clients:
        thread.start()

    begin, release = "/v1/Evacuation.Begin/" + ZONE, "/v1/Evacuation.Release/" + ZONE
    status, _ = order(fleet, record, begin, first=FROZEN)
    if status != 200:
        raise CannotRun("the first evacuation is not acknowledged")
    time.sleep(3)
    frozen_at = time.monotonic()
    if trouble:
        fleet.signal_core(FROZEN, signal.SIGSTOP)
        record("trouble: core-%d is frozen" % (FROZEN + 1))
    status, _ = order(fleet, record, release, first=FROZEN)
    if status != 200:
        raise CannotRun("the zone is not taken back")
    time.sleep(0.5)
    status, acknowledged = order(fleet, record, begin, first=FROZEN + 1)
    if status != 200:
        raise CannotRun("the second evacuation is not acknowledged")
    record("operator: %s is evacuated again, acknowledged; nothing more is ordered" % ZONE)
    time.sleep(max(0.0, frozen_at + FREEZE_S - time.monotonic()))
    if trouble:
        fleet.signal_core(FROZEN, signal.SIGCONT)
        record("trouble: core-%d wakes again after %.1f s" % (FROZEN + 1, time.monotonic() - frozen_at))
    woken = time.monotonic()
    # Only from here on a request counts: all machines are in touch again (contactMs after the last trouble on the
    # core), and the bound with its longest stretch for an unsettled core is over.
    bound = (TIMERS["evacuateMs"] + TIMERS["stretchMs"]) / 1000
    counted_from = max(acknowledged + bound, woken + (TIMERS["contactMs"] + TIMERS["evacuateMs"]) / 1000)
    time.sleep(max(0.0, counted_from + 6 - time.monotonic()))
    stopped.set()
    for thread in clients:
        thread.join()

    late = 0
    for runner in runners:
        ran = [r for r in list(runner.runs) if sent.get(r[1], 0) > counted_from]
        record("runner in %s: ran %d requests in all, %d sent over %.1f s after the evacuation of %s was acknowledged" % (
            runner.zone, len(runner.runs), len(ran), counted_from - acknowledged, ZONE))
        if runner.zone == ZONE:
            late = len(ran)
    for runner in runners:
        runner.close()
    return late > 0


main(test, HERE)
