"""A primary crashes for 0.3 s and comes back as the primary under a new id. Is its service served again?

The primary is partitioned from its replicas for 5 s meanwhile, and one instance is frozen for 3.5 s. In the end all
processes are killed and started again. Broken if less than a quarter of the requests is served that are sent later than
`recovery_s` (12 s) after that, though a quarter or more was before.
"""

import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
from standin import Client, Group, Node, Record, Store, configuration, run, trouble

RECOVERY_S = 12
CUT_S = 5.0
CRASH_S = 0.3
FREEZE_S = 3.5


def serve(record, nodes, label, count):
    """Sends `count` writes and reads in turn to all instances. Returns how many were served."""
    served = 0
    for n in range(count):
        node = nodes[n % len(nodes)]
        text = f"WRITE item{n} data" if n % 2 else f"READ item{n}"
        try:
            client = Client(node.callers, "db1", "key1", 3.0)
            answer = client.query(f"{label}{n}", text)
            client.close()
        except OSError as e:
            answer = [repr(e), ""]
        served += answer is not None and answer[-2].startswith("COMPLETE")
        record(f"{node.name}: {label}{n} {text} -> {answer}")
        time.sleep(0.1)
    return served


def main(folder, nodes):
    record = Record(os.path.join(HERE, "record.txt"))
    store = Store(record)
    group = Group("svc1", 3, store, record, zones=("a", "b", "c"))

    def promote(value, holder, fence):
        status = group.promote(value["id"])
        record(f"platform: promote {value['id']} by {holder} with fence {fence} -> {status}")
        return status

    store.promote = promote
    routes = [("db1", "primary", 1000, None)]
    store.write("config", "main", configuration("svc1", routes, [("ten1", "key1", 500)]))
    for zone in "abc":
        nodes.append(Node(f"frontend-{zone}-1", zone, store.address, store.address, folder).start())
    if not all(node.await_ready() for node in nodes):
        return 2
    time.sleep(3.0)
    before, sent_before = serve(record, nodes, "b", 20), 20
    if trouble():
        cut_at = time.monotonic()
        group.is_cut = True
        record("the primary is partitioned from its replicas")
        before, sent_before = before + serve(record, nodes, "d", 4), sent_before + 4
        holder = store.kinds["wasabiyard"]["duty"]["spec"]["holder"]
        frozen = next(node for node in nodes if node.name != holder)
        os.kill(frozen.process.pid, signal.SIGSTOP)
        record(f"{frozen.name} is frozen; {holder} holds the lease")
        crashed = next(d for d in group.databases if d.primary)
        crashed.crash()
        record(f"{crashed.name} has crashed")
        time.sleep(CRASH_S)
        back = group.come_back(crashed, "i-svc1-9")
        record(f"it is back as {back.name}, primary: {back.primary}, {len(back.log)} commits")
        # Instances notice the crash by what callers ask of it.
        end = time.monotonic() + FREEZE_S - CRASH_S
        others = [node for node in nodes if node is not frozen]
        while time.monotonic() < end:
            before, sent_before = before + serve(record, others, "c", 2), sent_before + 2
        os.kill(frozen.process.pid, signal.SIGCONT)
        record(f"{frozen.name} runs again")
        time.sleep(max(0.0, cut_at + CUT_S - time.monotonic()))
        group.is_cut = False
        group.catch_up()
        record("the partition has ended")
        before, sent_before = before + serve(record, nodes, "e", 10), sent_before + 10
    for node in nodes:
        node.end()
    record("all instances were killed")
    time.sleep(0.7)
    for node in nodes:
        node.start()
    record("all instances were started again")
    time.sleep(RECOVERY_S)
    after, sent_after = serve(record, nodes, "z", 40), 40
    text = f"{before} of {sent_before} requests served before the final fault, {after} of {sent_after} sent later than {RECOVERY_S} s after it"
    record(text)
    print(text)
    if before < sent_before / 4:
        return 2
    return 1 if after < sent_after / 4 else 0


run(main)
