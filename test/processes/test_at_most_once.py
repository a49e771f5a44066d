"""Launch entries over real daemons that are paused and killed in the middle: no request key runs twice."""

import concurrent.futures
import json
import os
import random
import signal
import threading
import time
import urllib.error
import urllib.request
import uuid

from support import MeshTest, call

SEED = 11
LAUNCHES = 60
# The launch entry and its second inner call are not idempotent; its first one, a check of the duty roster, is: it may run
# again after the daemon that ran it was lost, for each of the two attempts that a root may spend beyond its first.
IDEMPOTENT_SERVICE = "duty-roster"
MOST_RUNS = {IDEMPOTENT_SERVICE: 3}
TIMEOUT = 2.0


def try_call(url, key, body):
    """Gives the verdict, or None where no answer came, and the key to resend with."""
    headers = {"Idempotency-Key": key, "Request-Timeout-Ms": "1500"}
    request = urllib.request.Request(url, data=body, headers=headers, method="POST")
    try:
        with urllib.request.urlopen(request, timeout=TIMEOUT) as answer:
            return "completed", key, answer.read()
    except urllib.error.HTTPError as answer:
        return answer.headers["Egretlatch-Verdict"], answer.headers.get("Egretlatch-Next-Key", key), answer.read()
    except OSError:
        return None, key, b""


def mint(entries, rng):
    for _ in range(50):
        try:
            request = urllib.request.Request(f"{rng.choice(entries)}/keys/launch-log/launch-entry", data=b"", method="POST")
            with urllib.request.urlopen(request, timeout=TIMEOUT) as answer:
                return json.loads(answer.read())["key"]
        except OSError:
            continue
    raise AssertionError("no daemon mints a key")


def uuid7(rng):
    """A key of the caller's own making, with the time of its own clock."""
    milliseconds = time.time_ns() // 1_000_000
    rest = rng.getrandbits(80)
    value = (milliseconds << 80) | (0x7 << 76) | ((rest >> 68 & 0xFFF) << 64) | (0b10 << 62) | (rest & (1 << 62) - 1)
    return str(uuid.UUID(int=value))


class AtMostOnce(MeshTest):
    arguments = ["gliding-union", "--keys-without-owner", "refuse"]

    def wait_for_grants(self):
        """Until every entry knows the owners of keys that callers mint; a key before that is refused."""
        rng = random.Random(SEED)
        entries = [url for urls in self.mesh["entries"].values() for url in urls]
        for url in entries:
            for _ in range(300):
                if try_call(f"{url}/call/launch-log/launch-entry/", uuid7(rng), b"warm")[0] == "completed":
                    break
                time.sleep(0.05)
            else:
                self.fail(f"no owner of keys is known at {url}")

    def launch(self, number):
        """One launch, sent again at other entries until it is answered as completed; gives all keys and verdicts."""
        rng = random.Random(SEED * 1000 + number)
        entries = [url for urls in self.mesh["entries"].values() for url in urls]
        key = mint(entries, rng) if number % 2 == 0 else uuid7(rng)
        results = []
        for _ in range(4):
            url = f"{rng.choice(entries)}/call/launch-log/launch-entry/"
            verdict, next_key, answer = try_call(url, key, f"launch {number}".encode())
            results.append((key, verdict, answer))
            if verdict == "completed" and rng.random() < 0.5:
                break
            key = next_key
        return results

    def test_pauses_and_kills_in_the_middle_of_launches_run_no_key_twice(self):
        # A member is billed twice for one launch. A daemon is paused or killed while it runs the entry, the caller hears
        # nothing and sends it again through another daemon; the paused one wakes and goes on with what it had.
        rng = random.Random(SEED)
        daemons = self.mesh["daemons"]
        self.wait_for_grants()
        victims = rng.sample(daemons, 3)
        is_over = threading.Event()

        def disturb():
            os.kill(victims[0]["pid"], signal.SIGKILL)
            while not is_over.is_set():
                for victim in victims[1:]:
                    os.kill(victim["pid"], signal.SIGSTOP)
                    is_over.wait(0.4)
                    os.kill(victim["pid"], signal.SIGCONT)
                    is_over.wait(0.1)

        with concurrent.futures.ThreadPoolExecutor(max_workers=12) as pool:
            launches = [pool.submit(self.launch, number) for number in range(LAUNCHES)]
            disturber = threading.Thread(target=disturb)
            disturber.start()
            try:
                results = [launch.result() for launch in launches]
            finally:
                is_over.set()
                disturber.join()
        by_service = {}
        for daemon in daemons:
            counts = json.loads(call(f"http://127.0.0.1:{daemon['backend']}/executions", method="GET", body=None)[2])
            runs = by_service.setdefault(daemon["service"], {})
            for key, count in counts.items():
                runs[key] = runs.get(key, 0) + count
        for service, runs in by_service.items():
            most = MOST_RUNS.get(service, 1)
            self.assertEqual({}, {key: count for key, count in runs.items() if count > most}, f"at {service}, more than {most}")
        runs = {key: count for service, counts in by_service.items() if service != IDEMPOTENT_SERVICE for key, count in counts.items()}
        for answers in results:
            completed = {answer for _, verdict, answer in answers if verdict == "completed"}
            self.assertLessEqual(len(completed), 1, "two different answers to one launch")
            for key, verdict, _ in answers:
                if verdict == "not-run":
                    self.assertEqual(0, runs.get(key, 0), f"told not-run, but {key} ran")
                if verdict == "completed":
                    self.assertEqual(1, runs.get(key, 0))
            self.assertLessEqual(sum(runs.get(key, 0) for key in {key for key, _, _ in answers}), 1)
        verdicts = [verdict for answers in results for _, verdict, _ in answers]
        self.assertGreater(verdicts.count("completed"), 0)
        print(f"at most once: {len(runs)} keys ran, at most {max(runs.values())} time each;",
              {str(verdict): verdicts.count(verdict) for verdict in sorted(set(verdicts), key=str)})
