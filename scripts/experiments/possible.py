"""Possible weighted goodput: an upper bound on the worth that a deployment can earn from the offered requests.

A run of a kind holds a slot of its backend server for its own cost and the duration of its inner calls. So one request
of a kind needs slot time at each service that its call graph reaches; a service has servers x slots seconds of slot time
per second. The kinds are served greedily by worth per bottleneck cost, which is the largest part of a
service's slots that one request per second takes. Greedy is optimal for one bottleneck and within a few per cent of the
optimum for several; waits, hops and processor time are ignored, so the figure is a ceiling that no policy reaches.
"""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Service:
    """Describes the capacity of a service."""

    servers: float  # servers that accept work
    slots: int
    slowdown: float  # factor on the cost of its kinds


def kinds_of(manifest):
    """Returns {(service, kind): declaration} of a manifest."""
    return {(service["name"], kind["name"]): kind for service in manifest["services"] for kind in service["kinds"]}


def hold_seconds(kinds, services, name):
    """Returns the seconds that one run of a kind holds its slot: its cost and its inner calls in sequence."""
    kind = kinds[name]
    inner = sum(call.get("count", 1) * hold_seconds(kinds, services, (call["service"], call["kind"])) for call in kind.get("calls", []))
    return kind.get("costMs", 10) / 1000 * services[name[0]].slowdown + inner


def slot_seconds(kinds, services, name):
    """Returns {service: seconds of slot time} that one request of a kind takes over its call graph."""
    needed = {name[0]: hold_seconds(kinds, services, name)}
    for call in kinds[name].get("calls", []):
        for service, seconds in slot_seconds(kinds, services, (call["service"], call["kind"])).items():
            needed[service] = needed.get(service, 0) + call.get("count", 1) * seconds
    return needed


def possible_worth(kinds, services, offered):
    """Returns the maximum worth per second of `offered`, {(service, kind): requests per second}."""
    free = {name: service.servers * service.slots for name, service in services.items()}
    total = dict(free)
    costs = {name: slot_seconds(kinds, services, name) for name in offered}

    def worth_per_bottleneck_cost(name):
        parts = [seconds / total[service] if total[service] else float("inf") for service, seconds in costs[name].items()]
        return kinds[name].get("worth", 0) / max(parts)

    earned = 0.0
    for name in sorted(offered, key=worth_per_bottleneck_cost, reverse=True):
        rate = min([offered[name]] + [free[service] / seconds for service, seconds in costs[name].items() if seconds > 0])
        for service, seconds in costs[name].items():
            free[service] -= rate * seconds
        earned += rate * kinds[name].get("worth", 0)
    return earned


def utilization(kinds, services, offered):
    """Returns {service: share of its slots} that `offered` takes if nothing is refused."""
    used = {name: 0.0 for name in services}
    for name, rate in offered.items():
        for service, seconds in slot_seconds(kinds, services, name).items():
            used[service] += rate * seconds
    return {name: used[name] / max(service.servers * service.slots, 1e-9) for name, service in services.items()}


def _state_at(scenario, second):
    """Returns {(service, server): slowdown, or None for a server that accepts no work} at the start of a second."""
    states = {}
    for fault in sorted(scenario.get("faults", []), key=lambda fault: fault["atMs"]):
        if fault["atMs"] > second * 1000:
            break
        servers = range(scenario.get("servers", 2)) if fault.get("server", -1) < 0 else [fault["server"]]
        for server in servers:
            if fault["do"] == "control":
                behaviour = fault.get("behaviour", {})
                states[fault.get("service"), server] = None if behaviour.get("hangs") else behaviour.get("slowdown", 1.0)
            elif fault["do"] in ("stop", "kill"):
                states[fault.get("service"), server] = None
            elif fault["do"] in ("continue", "restart"):
                states[fault.get("service"), server] = 1.0
    return states


def services_at(scenario, manifest, second):
    """Returns {service: Service} in a second of a scenario, accounting for slow, paused and killed servers."""
    states = _state_at(scenario, second)
    services = {}
    for declared in manifest["services"]:
        name = declared["name"]
        slowdowns = [states.get((name, server), 1.0) for server in range(scenario.get("servers", 2))]
        working = [slowdown for slowdown in slowdowns if slowdown is not None]
        # Work is spread in proportion to speed, hence the harmonic mean.
        mean = len(working) / sum(1 / slowdown for slowdown in working) if working else 1.0
        services[name] = Service(len(working), scenario.get("slots") or declared["slots"], mean)
    return services


def offered_at(scenario, second):
    """Returns {(service, kind): new requests per second} in a second of a scenario."""
    rate = 0
    for phase in scenario["phases"]:
        if second < phase["seconds"]:
            rate = phase["rate"]
            break
        second -= phase["seconds"]
    total = sum(kind["share"] for kind in scenario["kinds"])
    return {(kind["service"], kind["kind"]): rate * kind["share"] / total for kind in scenario["kinds"]}


def possible_by_second(scenario, manifest):
    """Returns the possible weighted goodput of each second of a scenario."""
    kinds = kinds_of(manifest)
    seconds = sum(phase["seconds"] for phase in scenario["phases"])
    return [possible_worth(kinds, services_at(scenario, manifest, second), offered_at(scenario, second)) for second in range(seconds)]
