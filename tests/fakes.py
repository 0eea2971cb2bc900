"""Fakes of the interfaces of an entry VM, for tests with manual timers."""

import collections
from concurrent import futures

from returns import result

from persimmonpath import entry as entry_module
from persimmonpath import errors
from persimmonpath import inventory
from persimmonpath import machines
from persimmonpath import memoryworkers
from persimmonpath import peers
from persimmonpath import resources
from persimmonpath import rules
from persimmonpath import tables
from persimmonpath import timers
from persimmonpath import work
from persimmonpath import workers

CALL_TIMEOUT_S = 1.0
WORKER_SIZE = resources.Resources(16_000, 32_768, 0)
REQUEST_SIZE = resources.Resources(100, 64, 0)


class Network:
    """The network between the entry VMs of a test.

    Attributes:
        entries: Entry VMs by peer address; other addresses refuse calls.
        unanswered_pairs: Pairs of addresses (from, to) whose calls time out
            without effect.
        loses_answers: Pairs whose calls take effect but time out.
    """

    def __init__(self, timer_service):
        self.timers = timer_service
        self.entries = {}
        self.unanswered_pairs = set()
        self.loses_answers = set()

    def cut(self, one, other):
        """Drops calls between two addresses in both directions."""
        self.unanswered_pairs |= {(one, other), (other, one)}

    def heal(self):
        """Ends every fault."""
        self.unanswered_pairs.clear()
        self.loses_answers.clear()

    def create_peers(self, address):
        """Returns the `Peers` of the entry VM at that address."""
        return MemoryPeers(self, address)


class MemoryPeers(peers.Peers):
    """Peers that call the entry VMs of a `Network` directly."""

    def __init__(self, network, address):
        self._network = network
        self._address = address

    def run(self, address, request_id, request):
        """Runs a request at the owner of its shard."""

        def serve(entry):
            owned = entry.find_owned(request_id.shard)
            if owned is None:
                return _reject(request_id)
            return owned.dispatcher.submit(request_id, request)

        return self._call(address, serve, request.timeout_s)

    def ask(self, address, request_id, close, digest=""):
        """Returns the outcome of a request from the owner of its shard."""

        def serve(entry):
            owned = entry.find_owned(request_id.shard)
            if owned is None:
                return _reject(request_id)
            return owned.dispatcher.ask(request_id, close, digest)

        return self._call(address, serve)

    def issue_ids(self, address, shard, count):
        """Has the owner of a shard issue request ids."""

        def serve(entry):
            owned = entry.find_owned(shard)
            if owned is None:
                return _reject(shard)
            return owned.dispatcher.issue_ids(count)

        return self._call(address, serve)

    def probe(self, address):
        """Returns the state of an entry VM."""
        return self._call(address, lambda entry: entry.describe())

    def fetch_config(self, address):
        """Returns the configuration that an entry VM applies."""
        return self._call(address, lambda entry: entry.applied.config)

    def offer_shard(self, address, shard):
        """Offers a shard to an entry VM of its zone."""
        return self._call(address, lambda entry: entry.accept_offer(shard))

    def notify_job(self, address, shard, job_id):
        """Makes the runner of a shard poll its jobs."""
        del job_id

        def serve(entry):
            owned = entry.find_owned(shard)
            if owned is not None:
                owned.runner.poll()

        return self._call(address, serve)

    def _call(self, address, serve, timeout_s=CALL_TIMEOUT_S):
        network = self._network
        future = futures.Future()
        pair = (self._address, address)
        if pair in network.unanswered_pairs:
            self._fail_later(future, timeout_s)
            return future
        entry = network.entries.get(address)
        if entry is None:
            error = errors.PeerError("refused", False)
            future.set_result(result.Failure(error))
            return future
        value = serve(entry)
        if pair in network.loses_answers:
            self._fail_later(future, timeout_s)
        elif isinstance(value, futures.Future):
            self._fail_later(future, timeout_s)
            value.add_done_callback(
                lambda f: resolve_once(future, _wrap_result(f.result()))
            )
        else:
            future.set_result(_wrap_result(value))
        return future

    def _fail_later(self, future, timeout_s):
        error = errors.PeerError("no answer", True)
        self._network.timers.call_later(
            timeout_s, lambda: resolve_once(future, result.Failure(error))
        )


class FaultyTable(tables.Table):
    """A table with faults: it can be down, and lose the replies to commits.

    Attributes:
        is_down: Whether every call fails without effect.
        loses_answers: Whether commits take effect but return
            `TableUncertainError`.
        reads: Number of reads and scans so far.
        commits: Number of commits so far.
    """

    def __init__(self, table):
        self._table = table
        self.is_down = False
        self.loses_answers = False
        self.reads = 0
        self.commits = 0

    def get(self, key):
        """Reads a row."""
        self.reads += 1
        if self.is_down:
            return result.Failure(errors.TableUnavailableError("down"))
        return self._table.get(key)

    def scan(self, prefix):
        """Reads all rows with a prefix."""
        self.reads += 1
        if self.is_down:
            return result.Failure(errors.TableUnavailableError("down"))
        return self._table.scan(prefix)

    def commit(self, checks, writes):
        """Applies all writes if all checks hold."""
        self.commits += 1
        if self.is_down:
            return result.Failure(errors.TableUnavailableError("down"))
        reply = self._table.commit(checks, writes)
        if self.loses_answers:
            return result.Failure(errors.TableUncertainError("lost"))
        return reply


class FaultyWorker(workers.WorkerClient):
    """A worker client with faults, whose calls can time out.

    Attributes:
        is_disconnected: Whether calls time out without effect.
        loses_answers: Whether calls take effect but time out.
    """

    def __init__(self, worker, timer_service):
        self.worker = worker
        self.is_disconnected = False
        self.loses_answers = False
        self._timers = timer_service

    def fence(self, epoch, owner, lease_s, timeout_s):
        """Sets epoch and owner of the worker and lists its attempts."""
        return self._call("fence", timeout_s, epoch, owner, lease_s)

    def renew(self, epoch, lease_s, acknowledged, timeout_s):
        """Extends the owner lease."""
        return self._call("renew", timeout_s, epoch, lease_s, acknowledged)

    def start(self, start, wait, timeout_s):
        """Starts an attempt."""
        return self._call("start", timeout_s, start, wait)

    def close(self, attempt, epoch, timeout_s):
        """Prevents a later start of the attempt."""
        return self._call("close", timeout_s, attempt, epoch)

    def inspect(self, attempt, timeout_s):
        """Returns the record of an attempt."""
        return self._call("inspect", timeout_s, attempt)

    def control(self, attempt, action, epoch, timeout_s):
        """Applies an action to a running attempt."""
        return self._call("control", timeout_s, attempt, action, epoch)

    def disconnect(self):
        """Does nothing, since there is no connection to close."""

    def _call(self, method, timeout_s, *arguments):
        future = futures.Future()
        error = errors.WorkerUnreachableError(self.worker.name)
        self._timers.call_later(
            timeout_s, lambda: resolve_once(future, result.Failure(error))
        )
        if self.is_disconnected:
            return future
        reply = getattr(self.worker, method)(*arguments, timeout_s)
        if not self.loses_answers:
            reply.add_done_callback(lambda f: resolve_once(future, f.result()))
        return future


class FakeCell:
    """Entry VMs, workers and a table on manual timers.

    Attributes:
        timers: Manual timers of all parts.
        store: The table without faults.
        table: `store` with faults that affect every entry VM.
        network: Connects the entry VMs.
        machines: The VM list of the platform; new VMs are listed as live.
        workers: Workers by name.
        clients: Newest worker client by names of entry VM and worker.
        tables: Table of each entry VM, with faults of its own.
        entries: Entry VMs by name.
    """

    def __init__(self):
        self.timers = timers.create_manual_timers()
        self.store = tables.create_memory_table()
        self.table = FaultyTable(self.store)
        self.network = Network(self.timers)
        self.machines = machines.create_memory_machine_list()
        self.workers = {}
        self.clients = {}
        self.tables = {}
        self.entries = {}
        self._disconnected = set()
        self._paused = set()

    def add_worker(self, name, plan=None, slots=8):
        """Adds a worker; by default attempts succeed after 0.01 s."""
        worker = memoryworkers.MemoryWorker(
            name,
            WORKER_SIZE,
            slots,
            self.timers,
            plan or (lambda start: memoryworkers.Plan(0.01, True, b"ok")),
        )
        self.workers[name] = worker
        self.machines.mark(name, machines.MachineState.LIVE)
        return worker

    def add_entry(self, name, zone="zone-a", table=None):
        """Creates and starts an entry VM."""
        self.tables[name] = FaultyTable(table or self.table)
        identity = entry_module.create_identity(
            name, zone, f"{name}:1", f"{name}:2"
        )
        entry = entry_module.EntryVm(
            identity, self.create_surroundings(name, self.tables[name])
        )
        self.entries[name] = entry
        self.machines.mark(name, machines.MachineState.LIVE)
        self.network.entries[f"{name}:1"] = entry
        entry.start()
        return entry

    def create_surroundings(self, name, table):
        """Returns the dependencies of the entry VM of that name."""
        return entry_module.Surroundings(
            timers=self.timers,
            table=table,
            peers=self.network.create_peers(f"{name}:1"),
            create_client=lambda worker: self._create_client(name, worker),
            machines=self.machines,
            seeds=tuple(a for a in self.network.entries if a != f"{name}:1"),
            repeat=lambda period_s, action: self._repeat(
                name, period_s, action
            ),
        )

    def import_inventory(self, shards=2, draining=(), rules_set=None):
        """Commits an inventory of all workers through the first entry VM."""
        zones = sorted({e.identity.zone for e in self.entries.values()})
        content = inventory.validate_inventory(
            {
                "zones": [{"name": z, "shards": shards} for z in zones],
                "workers": [
                    {
                        "name": name,
                        "zone": _find_zone(zones, name),
                        "rack": "rack-0",
                        "host": "127.0.0.1",
                        "port": 1,
                        "cpu_millis": WORKER_SIZE.cpu_millis,
                        "memory_mib": WORKER_SIZE.memory_mib,
                        "draining": name in draining,
                    }
                    for name in self.workers
                ],
            }
        )
        entry = next(iter(self.entries.values()))
        return entry.commit_config(
            entry.applied.config.version,
            "operator",
            content,
            rules_set or rules.Rules(),
        )

    def list_owners(self):
        """Returns the names of the owning entry VMs by shard id."""
        owners = {}
        for name, entry in self.entries.items():
            for owned in entry.list_owned():
                owners.setdefault(owned.id, []).append(name)
        return owners

    def disconnect_workers(self, entry_name, worker_names):
        """Disconnects workers from present and later clients of an entry VM."""
        self._disconnected |= {(entry_name, name) for name in worker_names}
        for key, client in self.clients.items():
            client.is_disconnected = (
                client.is_disconnected or key in self._disconnected
            )

    def set_run_time(self, run_s):
        """Sets the run time in seconds of attempts that start from now on."""
        for worker in self.workers.values():
            worker._plan = lambda start: memoryworkers.Plan(run_s, True, b"ok")

    def submit(self, entry_name, shard, timeout_s=60.0):
        """Submits a request with a new id to the owner of a shard.

        Returns:
            Future of the outcome.
        """
        owned = self.entries[entry_name].find_owned(shard)
        (request_id,) = owned.dispatcher.issue_ids(1)
        request = work.Request(
            "kind", "team", False, REQUEST_SIZE, b"", timeout_s
        )
        return owned.dispatcher.submit(request_id, request)

    def count_runs(self):
        """Returns the number of ids that ran; asserts that none ran twice."""
        runs = collections.Counter()
        for worker in self.workers.values():
            runs.update(worker.runs)
        assert not runs or max(runs.values()) == 1, runs
        return sum(runs.values())

    def mark_leaving(self, name):
        """Marks a VM as leaving in the platform's VM list."""
        self.machines.mark(name, machines.MachineState.LEAVING)

    def pause(self, name):
        """Suspends an entry VM's periodic tasks and refuses calls to it."""
        self._paused.add(name)
        self.network.entries.pop(f"{name}:1", None)

    def resume(self, name):
        """Ends the effect of `pause`."""
        self._paused.discard(name)
        self.network.entries[f"{name}:1"] = self.entries[name]

    def _create_client(self, name, worker):
        client = FaultyWorker(self.workers[worker.name], self.timers)
        client.is_disconnected = (name, worker.name) in self._disconnected
        self.clients[name, worker.name] = client
        return client

    def _repeat(self, name, period_s, action):
        def run():
            if name not in self._paused:
                action()

        self.timers.call_later(0.0, run)
        return self.timers.subscribe(period_s, run)


def resolve_once(future, value):
    """Sets the result of a future unless it has one."""
    if not future.done():
        future.set_result(value)


def _find_zone(zones, name):
    """Returns the zone that a worker's name begins with, or the first one."""
    return next((z for z in zones if name.startswith(z)), zones[0])


def _wrap_result(value):
    return value if isinstance(value, result.Result) else result.Success(value)


def _reject(name):
    return result.Failure(errors.NotOwnerError(str(name)))
