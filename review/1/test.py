"""The last tenant's key is taken away by an acknowledged configuration. See claim.txt."""
import os, sys, time
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
from fleet import TIMERS, ZONES, main, until
from standins import Runner, ask, configuration, replace, route

FIRST, SECOND, UNKNOWN = "2b9wu3fexd9dnn2ctnfz", "s989anu6wsjnbanfqasn", "k0000000000000000000"
OWNER = {FIRST: "huka270", SECOND: "puhu251"}


def tenant(key):
    return {"label": OWNER[key], "accessKeys": [key], "precedence": 1, "ratePerS": 38, "burstSize": 38}


def test(fleet, record, trouble):
    for i in range(3):
        fleet.start_core(i, True)
    access = [fleet.start_access(i) for i in range(2)]
    routes, services = [route("/dose/", "tint-dispatch")], ["tint-dispatch"]
    until(20, lambda: replace(fleet, record, 0, configuration(1, routes, services, [tenant(FIRST), tenant(SECOND)]))[0] == 200,
          "the first configuration is not taken")
    runner = Runner(fleet, record, "i-7f3a91c2", "tint-dispatch", (fleet.ip(4, 1), 8080), ZONES[0])
    for k, front in enumerate(access):
        until(20, lambda: ask(front, "warm-%d-%d" % (k, time.monotonic_ns()), "/dose/1", FIRST)[0] == 200, "nothing is served")

    sent = {}  # attempt id: key, time of sending

    def send(stage):
        for name, key in (("first", FIRST), ("second", SECOND), ("unknown", UNKNOWN)):
            answers = []
            for n in range(10):
                attempt = "%s-%s-%d" % (stage, name, n)
                sent[attempt] = (key, time.monotonic())
                answers.append(ask(access[n % 2], attempt, "/dose/1", key)[0])
            record("clients: 10 requests with the %s key, %s: answers %s" % (name, stage, answers))

    send("before")
    revoke_s = TIMERS["revokeMs"] / 1000
    taken = {}  # key: when the configuration that took it away was acknowledged
    status, at = replace(fleet, record, 1, configuration(2, routes, services, [tenant(SECOND)]))
    if status == 200:
        taken[FIRST] = at
    time.sleep(revoke_s + 1)
    send("after-one")
    # The disruption: the key that is left goes too. Without it, the version only changes a time-out.
    left = [] if trouble else [tenant(SECOND)]
    routes = [route("/dose/", "tint-dispatch", expiryMs=2900)]
    status, at = replace(fleet, record, 2, configuration(3, routes, services, left))
    if status == 200 and trouble:
        taken[SECOND] = at
    time.sleep(revoke_s + 1)
    send("after-both")

    revoked = unknown = 0
    for _, attempt, headers, _, _ in list(runner.runs):
        if attempt not in sent:
            continue
        key, when = sent[attempt]
        late = key in taken and when > taken[key] + revoke_s
        revoked += late
        unknown += key == UNKNOWN
        if late or key == UNKNOWN:
            record("runner: ran %s, key %s, X-Subscriber %s, Authorization %s" % (
                attempt, "of no configuration" if key == UNKNOWN else "taken away %.1f s before it was sent" % (when - taken[key]),
                headers.get("X-Subscriber"), headers.get("Authorization")))
    record("CONFIG: %d requests ran with a key taken away over %.0f s before; ROUTE: %d ran with a key that no "
           "configuration ever held" % (revoked, revoke_s, unknown))
    runner.close()
    return revoked > 0 or unknown > 0


main(test, HERE)
