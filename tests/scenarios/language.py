"""Run scenarios: scripts that start real processes, inject faults and check them.

Each statement, condition and action of the grammar is run by the method of its name
with the prefix do_, is_ or action_.
"""

import signal
import threading
import time
from functools import partial
from pathlib import Path

from lark import Lark, Token, Tree

from arbutusyard.client import CallFailed, Client, ClientError, Unreachable
from standins.cluster import ROOT, Cluster
from tests.scenarios.groups import Group

HERE = Path(__file__).parent
PARSER = Lark((HERE / "grammar.lark").read_text(), parser="earley", lexer="dynamic")
ACCOUNT = "cielo-maya"
# Time within which the whole system starts, in seconds.
START_BOUND_S = 15.0
# Time for which an engine is watched for new work, in seconds.
NO_NEW_WORK_S = 1.5
# Time within which a refusal counts as immediate, in seconds.
REFUSAL_BOUND_S = 0.5


class ScenarioFailed(AssertionError):
    """Report an unmet condition, with its name and what was observed."""


class Scenario:
    """The processes, request groups and outcomes of one scenario."""

    def __init__(self, cluster: Cluster):
        self.cluster = cluster
        self.groups = {}
        self.outcomes = {}
        self.engines = []
        self.nodes = 0
        self.linked = False

    def run(self, text):
        """Run the statements of a scenario; raise ScenarioFailed if one fails."""
        tree = PARSER.parse(text if text.endswith("\n") else text + "\n")
        for statement in tree.children:
            self._do(statement)

    def _do(self, tree):
        return getattr(self, "do_" + tree.data)(*map(_convert, tree.children))

    def _evaluate(self, tree):
        return getattr(self, "is_" + tree.data)(*map(_convert, tree.children))

    # Statements

    def do_system(self, workload, engines, entries, *options):
        """Start a system, apply its workload and wait until every entry knows it."""
        names = {option.data for option in options}
        cluster = self.cluster
        self.linked = "linked" in names
        self.nodes = entries
        self.engines = [f"q{number}" for number in range(engines)]
        cluster.platform(*(["--weights-s", "2"] if "slow_weights" in names else []))
        engine_args = ["--ignore-fencing"] if "unfenced" in names else []
        service_args = ["--fenced"] if "fenced_service" in names else []
        serves = f"{workload}/{workload}-assistant"
        cluster.run_concurrently(
            partial(
                cluster.service,
                "x0",
                f"{workload}/exchange",
                "gt-0",
                *service_args,
                linked=self.linked,
            ),
            *(
                partial(
                    cluster.engine,
                    name,
                    serves,
                    f"gt-{number}",
                    *engine_args,
                    linked=self.linked,
                )
                for number, name in enumerate(self.engines)
            ),
            *(partial(self._start_node, number) for number in range(entries)),
        )
        assert cluster.apply(ROOT / f"examples/{workload}.toml").returncode == 0
        cluster.wait("the start", self._has_started, START_BOUND_S)

    def do_process(self, action, *names):
        for name in names:
            getattr(self, "action_" + action)(name)

    def do_delay(self, name, seconds):
        """Delay the traffic to a process by a number of seconds."""
        self.cluster.configure(f"{name}-link", delay_s=seconds)

    def do_platform(self, what, number):
        """Take the platform down or up, slow it down or make it lose answers."""
        orders = {
            "down": {"down": True},
            "up": {"down": False, "delay_s": 0},
            "slow": {"delay_s": number},
            "loses": {"lose_answers": int(number or 1)},
        }
        self.cluster.configure("platform", **orders[what])

    def do_apply(self, weights, from_revision, name):
        """Apply target weights in the background; the outcome gets the given name."""
        thread = threading.Thread(
            target=self._run_apply, args=(weights, from_revision, name), daemon=True
        )
        thread.start()

    def do_apply_now(self, weights):
        """Apply target weights; fail unless the change is accepted."""
        self._run_apply(weights, None, "now")
        if self.outcomes.get("now") != "accepted":
            raise ScenarioFailed(
                f"workload apply was not accepted: {self.outcomes['now']}"
            )

    def do_send(self, count, work, account, entry, tokens, prompt, name):
        """Send a named group of requests in the background."""
        waits_s = []
        client = self._client(account or ACCOUNT, entry, waits_s=waits_s)
        group = Group(client, waits_s)
        self.groups[name] = group
        group.send(count, work, tokens or 12, prompt or "manual")

    def do_reserve(self, part, key, entry, name):
        """Reserve a part in the background; the outcome gets the given name."""
        threading.Thread(
            target=self._run_reserve, args=(part, key, entry, name), daemon=True
        ).start()

    def do_leave(self, name):
        """Make an engine or a service report that it is draining."""
        self.cluster.configure(name, leaving=True)

    def do_until(self, bound_s, condition):
        """Wait until a condition holds; fail after a bound, in seconds."""
        deadline = time.monotonic() + bound_s
        while not self._is_met(condition):
            if time.monotonic() > deadline:
                raise ScenarioFailed(
                    self._describe_failure(condition, f"within {bound_s} s")
                )
            time.sleep(0.02)

    def do_expect(self, condition):
        """Fail unless a condition holds now."""
        if not self._evaluate(condition):
            raise ScenarioFailed(self._describe_failure(condition, "at once"))

    # Actions

    def action_kill(self, name):
        self.cluster.processes[name].kill()

    def action_stop(self, name):
        self.cluster.processes[name].signal(signal.SIGTERM)

    def action_restart(self, name):
        self.cluster.restart(name)

    def action_freeze(self, name):
        """Suspend a process with SIGSTOP."""
        self.cluster.processes[name].signal(signal.SIGSTOP)

    def action_thaw(self, name):
        self.cluster.processes[name].signal(signal.SIGCONT)

    def action_cut(self, name):
        self._set_cut(name, True)

    def action_heal(self, name):
        self._set_cut(name, False)

    def action_drop(self, name):
        """Drop the replies on a process's link."""
        self.cluster.configure(f"{name}-link", drop_replies=True)

    # Conditions

    def is_complete(self, name):
        return self.groups[name].ended() and self.groups[name].complete()

    def is_ended(self, name):
        if name in self.groups:
            return self.groups[name].ended()
        return name in self.outcomes

    def is_begun(self, name):
        """Return whether the engines accepted as many requests as a group has."""
        accepted = sum(
            self.cluster.get(engine, "/_state")["accepted"] for engine in self.engines
        )
        return accepted >= len(self.groups[name].requests)

    def is_reused_nothing(self, name):
        answers = [request.answer for request in self.groups[name].requests]
        return all(answer.cached_tokens == 0 for answer in answers)

    def is_reused_most(self, name):
        """Return whether more than half of a group's prompt tokens were cached."""
        answers = [request.answer for request in self.groups[name].requests]
        cached = sum(answer.cached_tokens for answer in answers)
        return cached > 0.5 * sum(answer.prompt_tokens for answer in answers)

    def is_refused_not_run(self, name):
        return self.groups[name].refused_not_run()

    def is_refused_at_once(self, name):
        """Return whether requests were refused, each within REFUSAL_BOUND_S."""
        group = self.groups[name]
        return bool(group.refusals()) and group.refused_within(REFUSAL_BOUND_S)

    def is_p95_below(self, name, bound_s):
        """Return whether a group's 95th percentile of first tokens is below a bound."""
        in_engine_s = {}
        for engine in self.engines:
            in_engine_s |= self.cluster.get(engine, "/_state")["first_token_s"]
        return self.groups[name].first_token_p95(in_engine_s) < bound_s

    def is_outcome(self, name, wanted):
        return self.outcomes.get(name) == wanted

    def is_one_of(self, first, second, wanted):
        """Return whether exactly one of two outcomes is the given one."""
        return [self.outcomes.get(first), self.outcomes.get(second)].count(wanted) == 1

    def is_process_state(self, name, wanted):
        """Return whether a process has a state.

        Dead and alive are as control c0 reports them; a backend's states must be
        reported by every entry that runs.
        """
        process = self.cluster.processes[name]
        match wanted:
            case "stopped":
                return process.popen.poll() == 0
            case "draining":
                return self.cluster.status(name)["draining"]
            case "dead" | "alive":
                members = self.cluster.status("c0")["members"]
                states = {member["name"]: member["status"] for member in members}
                return states.get(name) == wanted
        return all(
            self.cluster.status(f"e{number}")["backends"].get(name) == wanted
            for number in range(self.nodes)
            if self.cluster.processes[f"e{number}"].is_running()
        )

    def is_no_new_work(self, name):
        """Return whether an engine accepts nothing for NO_NEW_WORK_S."""
        before = self.cluster.get(name, "/_state")["accepted"]
        time.sleep(NO_NEW_WORK_S)
        return self.cluster.get(name, "/_state")["accepted"] == before

    def is_has_weights(self, name, version):
        return self.cluster.get(name, "/_state")["weights_version"] == version

    def is_revision_everywhere(self, revision):
        return all(
            self.cluster.status(f"{kind}{number}")["revision"] == revision
            for number in range(self.nodes)
            for kind in "ce"
        )

    def is_revision_on(self, revision, name):
        return self.cluster.status(name)["revision"] == revision

    def is_executed(self, times):
        return sum(self._executions()) == times

    def is_at_most_once(self):
        return all(count <= 1 for count in self._executions())

    def is_no_lease(self, name):
        leases = self.cluster.status(name)["leases"]
        return all(lease["state"] != "held" for lease in leases)

    def is_orders_forward(self):
        """Return whether each engine's orders came in the order of fencing tokens."""
        for engine in self.engines:
            tokens = [o["fence"] for o in self.cluster.get(engine, "/_state")["orders"]]
            if tokens != sorted(tokens):
                return False
        return True

    # Helpers

    def _start_node(self, number):
        domain = f"gt-{number}"
        self.cluster.control(f"c{number}", "gt-central", domain, linked=self.linked)
        self.cluster.entry(
            f"e{number}", f"c{number}", "gt-central", domain, linked=self.linked
        )

    def _has_started(self):
        """Return whether each entry knows the workload, all backends and entries."""
        for number in range(self.nodes):
            status = self.cluster.status(f"e{number}")
            live = list(status["backends"].values()).count("live")
            if status["revision"] != 1 or live != len(self.engines) + 1:
                return False
            if len(status["entries"]) != self.nodes:
                return False
        return True

    def _set_cut(self, name, cut):
        """Cut a process off, or connect it again.

        An engine or a service is cut off by its link; a node is cut off from the
        platform and from all other nodes.
        """
        cluster = self.cluster
        if f"{name}-link" in cluster.processes:
            cluster.configure(f"{name}-link", cut=cut)
            return
        (cluster.cut_off.add if cut else cluster.cut_off.discard)(name)
        cluster.configure(f"{name}-platform", cut=cut)
        cluster.configure(f"{name}-udp", cut=cut)
        cluster.configure(f"{name}-rpc", cut=cut)
        dropped = [cluster.address(name)] if cut else []
        for number in range(self.nodes):
            if f"c{number}" != name:
                cluster.configure(f"c{number}-udp", drop_from=dropped)

    def _client(self, account, entry=None, retries=8, waits_s=None):
        def sleep(wait_s):
            if waits_s is not None:
                waits_s.append(wait_s)
            time.sleep(wait_s)

        names = [entry] if entry else [f"e{number}" for number in range(self.nodes)]
        seeds = tuple(self.cluster.address(name) for name in names)
        return Client(seeds, f"demo-{account}", retries=retries, sleep=sleep)

    def _run_apply(self, weights, from_revision, name):
        text = (ROOT / "examples/quetzal.toml").read_text()
        file = self.cluster.log_dir / f"{name}.toml"
        file.write_text(text.replace('weights = "v1"', f'weights = "{weights}"'))
        extra = []
        if from_revision is not None:
            extra = ["--from-revision", str(from_revision)]
        result = self.cluster.apply(file, *extra)
        if result.returncode == 0:
            self.outcomes[name] = "accepted"
        else:
            conflict = "the change was made from" in result.stderr
            self.outcomes[name] = "conflict" if conflict else result.stderr

    def _run_reserve(self, part, key, entry, name):
        client = self._client(ACCOUNT, entry, retries=0)
        try:
            client.call("POST", "exchange", "/reservations", {"part": part}, key=key)
            self.outcomes[name] = "done"
        except CallFailed as exc:
            self.outcomes[name] = exc.detail.outcome.value
        except Unreachable:
            self.outcomes[name] = "unknown"
        except ClientError as exc:
            self.outcomes[name] = str(exc)

    def _executions(self):
        """Return how often the service executed each idempotency key."""
        return self.cluster.get("x0", "/_executions")["executions"].values()

    def _is_met(self, condition):
        """Return whether a condition holds; a process that can't be asked fails it."""
        try:
            return self._evaluate(condition)
        except (KeyError, ValueError, OSError):
            return False
        except Exception as exc:
            if type(exc).__module__.startswith("urllib3"):
                return False
            raise

    def _describe_failure(self, condition, when):
        """Return the message for an unmet condition."""
        arguments = " ".join(str(child) for child in condition.children)
        detail = {name: group.describe() for name, group in self.groups.items()}
        return (
            f"{condition.data} {arguments} did not hold {when}; "
            f"refusals {detail}, outcomes {self.outcomes}"
        )


def _convert(child):
    """Return a parsed argument as an int, a float or a string, or a tree unchanged."""
    if child is None or isinstance(child, Tree):
        return child
    if isinstance(child, Token):
        if child.type == "INT":
            return int(child)
        if child.type == "NUMBER":
            return float(child)
    return str(child)
