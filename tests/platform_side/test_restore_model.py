"""Stateful test: whatever store, readers, peers and restarts do, nothing goes back.

The store is restored from copies while the configuration changes, servers come and go, instances read,
hear each other and start again, in any order. No process waits and no network is used.
"""

from __future__ import annotations

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from carawaydoor.operating import clocks, configuration_source, platform_metrics, source_watcher
from carawaydoor.policy import entities, source_position
from carawaydoor.serving import instance_state
from tests.platform_side import router_harness
from tests.policy import builders

INSTANCES = 3
SERVERS = ("s1", "s2", "s3")
ALL_KEYS = tuple(f"key-{number}" for number in range(6))


class ModelStore:
    """The store's content, history and copies."""

    def __init__(self):
        self.era, self.revision = 1, 0
        self.configuration: tuple[int, frozenset[str]] | None = None
        self.configuration_revision = 0
        self.born_by_server: dict[str, int] = {}

    def copy(self):
        return (
            self.revision,
            self.configuration,
            self.configuration_revision,
            dict(self.born_by_server),
        )

    def restore(self, copy):
        self.era += 1
        self.revision, self.configuration, self.configuration_revision, servers = copy
        self.born_by_server = dict(servers)

    def write_configuration(self, configuration):
        self.revision += 1
        self.configuration, self.configuration_revision = configuration, self.revision

    def write_server(self, server, born_ms):
        self.revision += 1
        if born_ms:
            self.born_by_server[server] = born_ms
        else:
            self.born_by_server.pop(server, None)


class ModelSource(configuration_source.ConfigurationSource):
    """Reads everything each time, like a source whose history is always gone."""

    def __init__(self, store):
        self._store = store

    def changes_after(self, revision):
        return None

    def take_over(self, changes):
        raise NotImplementedError

    def watch(self, after, wait_s, timeout_s):
        raise configuration_source.HistoryGoneError

    def read(self, timeout_s):
        store = self._store
        position = source_position.create(store.era, store.configuration_revision)
        configuration = None
        if store.configuration is not None:
            version, keys = store.configuration
            configuration = entities.Configuration(
                position,
                version,
                {router_harness.HOST: (router_harness.SAFE,)},
                {builders.PLAIN_SERVICE.name: builders.PLAIN_SERVICE},
                dict.fromkeys(keys, router_harness.WORKSPACE),
                entities.Limits(),
                True,
            )
        upstream_by_id = {
            name: builders.upstream(name, born_ms=born_ms)
            for name, born_ms in store.born_by_server.items()
        }
        return configuration_source.SourceUpdate(
            configuration,
            upstream_by_id,
            source_position.create(store.era, store.revision),
            position if configuration else 0,
        )


class Restores(stateful.RuleBasedStateMachine):
    """Operators, servers, restores and instances in any order."""

    def __init__(self):
        super().__init__()
        self.clock = clocks.ManualClock()
        self.store = ModelStore()
        self.version = 0
        self.keys = frozenset(ALL_KEYS)
        self.born_ms = 1
        self.live_by_server: dict[str, int] = {}
        self.copies = [self.store.copy()]
        self.instances = [self.start_instance(number) for number in range(INSTANCES)]
        self.highest_version = [0] * INSTANCES
        self.operator_writes()

    def start_instance(self, number):
        instance = instance_state.InstanceState(
            router_harness.example_options(instance=f"m{number}"),
            self.clock,
            platform_metrics.Metrics("test"),
        )
        watcher = source_watcher.SourceWatcher(instance, ModelSource(self.store), self.clock)
        return instance, watcher

    @stateful.rule(withdrawn=st.sampled_from(ALL_KEYS), is_copied=st.booleans())
    def operator_writes(self, withdrawn="", is_copied=False):
        """Keys are only ever withdrawn, so that a key that is back is a fault."""
        if is_copied:
            self.copies.append(self.store.copy())
        self.version += 1
        self.keys -= {withdrawn}
        self.store.write_configuration((self.version, self.keys))

    @stateful.rule(server=st.sampled_from(SERVERS))
    def server_starts(self, server):
        self.born_ms += 1
        self.live_by_server[server] = self.born_ms
        self.store.write_server(server, self.born_ms)

    @stateful.rule(server=st.sampled_from(SERVERS))
    def server_leaves(self, server):
        self.live_by_server.pop(server, None)
        self.store.write_server(server, 0)

    @stateful.rule(back=st.integers(1, 3))
    def store_is_restored(self, back):
        self.store.restore(self.copies[-min(back, len(self.copies))])

    @stateful.rule()
    def operator_and_servers_write_again(self):
        self.store.write_configuration((self.version, self.keys))
        for server in SERVERS:
            self.store.write_server(server, self.live_by_server.get(server, 0))

    @stateful.rule(numbers=st.sets(st.integers(0, INSTANCES - 1), min_size=1))
    def instances_read(self, numbers):
        for number in numbers:
            instance, watcher = self.instances[number]
            watcher._read()
            self.note(number, instance)

    @stateful.rule(sender=st.integers(0, INSTANCES - 1), receiver=st.integers(0, INSTANCES - 1))
    def instance_reports(self, sender, receiver):
        self.instances[receiver][0].handle_report(self.instances[sender][0].compose_report()[0])

    @stateful.rule(number=st.integers(0, INSTANCES - 1))
    def instance_starts_again(self, number):
        self.instances[number] = self.start_instance(number)
        self.highest_version[number] = 0

    @stateful.rule(seconds=st.sampled_from([0.1, 1.0, 3.0]))
    def time_passes(self, seconds):
        self.clock.advance(seconds)
        for instance, _ in self.instances:
            instance.expire()

    def note(self, number, instance):
        version = instance.configuration.version
        assert version >= self.highest_version[number], "the version in force fell"
        self.highest_version[number] = version

    @stateful.invariant()
    def no_version_falls(self):
        for number, (instance, _) in enumerate(self.instances):
            self.note(number, instance)

    def teardown(self):
        """All instances agree within the bounds once everything is written again."""
        self.operator_and_servers_write_again()
        for _ in range(2):
            for _, watcher in self.instances:
                watcher._read()
            self.clock.advance(2.0)
            for instance, _ in self.instances:
                instance.expire()
        for _, watcher in self.instances:
            watcher._read()
        for instance, _ in self.instances:
            assert instance.configuration.version == self.version
            assert instance.configuration.workspace_by_key.keys() == self.keys
            assert instance.accepts_keys()
            upstreams = instance.directory.upstream_by_id.values()
            assert {each.id: each.born_ms for each in upstreams} == self.live_by_server


Restores.TestCase.settings = hypothesis.settings(
    max_examples=100, stateful_step_count=50, derandomize=True, deadline=None
)
TestRestores = Restores.TestCase


def adopt_lower_versions(patch):
    """An instance takes what the store shows for the newest configuration."""

    def adopt(self, configuration):
        if configuration.revision <= self.configuration.revision:
            return False
        self.configuration = configuration
        return True

    patch.setattr(instance_state.InstanceState, "adopt", adopt)


def ignore_eras(patch):
    """Positions are revisions, as if the store had never been restored."""
    patch.setattr(source_position, "create", lambda era, revision: revision)


@pytest.mark.parametrize("plant_fault", [adopt_lower_versions, ignore_eras])
def test_model_finds(plant_fault, monkeypatch):
    plant_fault(monkeypatch)
    settings = hypothesis.settings(
        Restores.TestCase.settings,
        phases=[hypothesis.Phase.generate],
        report_multiple_bugs=False,
    )
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(Restores, settings=settings)
