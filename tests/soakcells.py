"""A simulated cell of two zones with faults in every part.

Everything runs on one thread and in virtual time.
"""

from concurrent import futures
import enum
import random

from returns import result

from persimmonpath import entry as entry_module
from persimmonpath import errors
from persimmonpath import inventory
from persimmonpath import machines
from persimmonpath import memoryworkers
from persimmonpath import resources
from persimmonpath import router as router_module
from persimmonpath import tables
from persimmonpath import timers
from tests import fakes

ZONES = ("zone-a", "zone-b")
VMS_PER_ZONE = 2
WORKERS_PER_ZONE = 3
SHARDS_PER_ZONE = 2
SLOTS = 3
CAPACITY = resources.Resources(4_000, 8_192, 0)
LATENCY_S = 0.002
MACHINE_LIST_LAG_S = 3.0
# Maximum delay of a delayed call; exceeds the deadline of every call.
MAX_DELAY_S = 6.0


class ProcessState(enum.Enum):
    """State of the process of an entry VM."""

    RUNNING = 0
    PAUSED = 1
    KILLED = 2


class SimulatedProcess:
    """A process that runs, pauses or has been killed.

    Actions that arrive during a pause are deferred; those that arrive after a
    kill are dropped.
    """

    def __init__(self, name, generator):
        self.name = name
        self.state = ProcessState.RUNNING
        self._generator = generator
        self._deferred = []

    def execute(self, action):
        """Runs, defers or drops an action, depending on the state."""
        if self.state is ProcessState.RUNNING:
            action()
        elif self.state is ProcessState.PAUSED:
            self._deferred.append(action)

    def resume(self):
        """Ends a pause and runs the deferred actions.

        Their order is random, as is the order in which threads resume.
        """
        self.state = ProcessState.RUNNING
        deferred, self._deferred = self._deferred, []
        self._generator.shuffle(deferred)
        for action in deferred:
            self.execute(action)


class ProcessTimers(timers.TimerService):
    """Timers of one process, driven by the clock of the cell."""

    def __init__(self, clock, process):
        super().__init__()
        self._clock = clock
        self._process = process

    def now(self):
        return self._clock.now()

    def _push(self, due, subscription):
        self._clock.call_later(
            due - self._clock.now(),
            lambda: self._process.execute(lambda: self._run(due, subscription)),
        )


class Link:
    """Faults of the network path to a worker or between two zones.

    Attributes:
        is_disconnected: Whether calls have no effect.
        loses_answers: Whether calls take effect but time out.
        is_delayed: Whether calls and replies may be delayed.
    """

    def __init__(self):
        self.is_disconnected = False
        self.loses_answers = False
        self.is_delayed = False


class Transport:
    """Delivers calls with latency and with the faults of a link."""

    def __init__(self, clock, generator):
        self._clock = clock
        self._random = generator

    def call(
        self,
        source,
        link,
        timeout_s,
        serve,
        convert_reply,
        lost_result,
        refused_result,
    ):
        """Makes a call; the process of the caller resolves the future.

        Args:
            source: Process of the caller.
            link: Link that carries the call.
            timeout_s: Timeout of the call in seconds.
            serve: Called with a function that sends the reply; returns False
                if no process listens.
            convert_reply: Converts a reply to a result.
            lost_result: Result of a call without a reply.
            refused_result: Result of a call that certainly had no effect.
        """
        future = futures.Future()

        def finish(value):
            source.execute(lambda: fakes.resolve_once(future, value))

        def reply(value):
            if not link.loses_answers and not link.is_disconnected:
                self._clock.call_later(
                    self._draw_delay(link), lambda: finish(convert_reply(value))
                )

        def arrive():
            if not link.is_disconnected and not serve(reply):
                finish(lost_result)

        self._clock.call_later(timeout_s, lambda: finish(lost_result))
        if link.is_disconnected and self._random.random() < 0.3:
            self._clock.call_later(LATENCY_S, lambda: finish(refused_result))
        elif not link.is_disconnected:
            self._clock.call_later(self._draw_delay(link), arrive)
        return future

    def _draw_delay(self, link):
        if link.is_delayed and self._random.random() < 0.5:
            return self._random.uniform(0.0, MAX_DELAY_S)
        return self._random.uniform(0.5, 1.5) * LATENCY_S


class SoakPeers(fakes.MemoryPeers):
    """Peers of an entry VM that call the others through the transport."""

    def __init__(self, cell, vm):
        super().__init__(None, None)
        self._cell = cell
        self._vm = vm

    def _call(self, address, serve, timeout_s=fakes.CALL_TIMEOUT_S):
        cell = self._cell
        target = cell.find_vm(address)
        refused_result = result.Failure(errors.PeerError("refused", False))
        if target is None or target.process.state is ProcessState.KILLED:
            future = futures.Future()
            future.set_result(refused_result)
            return future

        def answer(reply):
            if target.process.state is ProcessState.KILLED:
                return False
            target.process.execute(
                lambda: _forward_result(serve(target.entry), reply)
            )
            return True

        return cell.transport.call(
            self._vm.process,
            cell.get_link(self._vm.zone, target.zone),
            timeout_s,
            answer,
            lambda v: v if isinstance(v, result.Result) else result.Success(v),
            result.Failure(errors.PeerError("no answer", True)),
            refused_result,
        )


class SoakClient(fakes.FaultyWorker):
    """Client of a worker that calls it through the transport."""

    def __init__(self, cell, process, name):
        self._cell = cell
        self._process = process
        self._name = name

    def _call(self, method, timeout_s, *arguments):
        def answer(reply):
            worker = self._cell.workers[self._name]
            if worker is None:
                return False
            call = getattr(worker, method)
            _forward_result(call(*arguments, timeout_s), reply)
            return True

        name = self._name
        return self._cell.transport.call(
            self._process,
            self._cell.worker_links[name],
            timeout_s,
            answer,
            lambda value: value,
            result.Failure(errors.WorkerUnreachableError(name)),
            result.Failure(errors.WorkerNotContactedError(name)),
        )


class Platform:
    """Table service and VM list, with outages, delays and lost replies.

    Attributes:
        table: The table.
        machines: The VM list.
        is_down: Whether all calls fail.
        is_slow: Whether commits may be applied late and reads time out.
        loses_answers: Whether replies to commits may be lost.
        disconnected_zones: Zones whose calls fail.
    """

    def __init__(self, clock, generator):
        self.table = tables.create_memory_table()
        self.machines = machines.create_memory_machine_list()
        self.is_down = False
        self.is_slow = False
        self.loses_answers = False
        self.disconnected_zones = set()
        self.clock = clock
        self.random = generator

    def mark(self, name, state):
        """Changes the state of a VM in the VM list, after a lag."""
        self.clock.call_later(
            MACHINE_LIST_LAG_S, lambda: self.machines.mark(name, state)
        )


class SoakTable(tables.Table):
    """Table client of one entry VM.

    Calls return immediately, since there is one thread. On a slow platform,
    commits are applied after they were reported as lost, and reads time out.
    """

    def __init__(self, platform, zone):
        self._platform = platform
        self._zone = zone

    def get(self, key):
        return self._read(lambda: self._platform.table.get(key))

    def scan(self, prefix):
        return self._read(lambda: self._platform.table.scan(prefix))

    def commit(self, checks, writes):
        platform = self._platform
        lost_result = result.Failure(errors.TableUncertainError("no answer"))
        if self._is_disconnected():
            if platform.random.random() < 0.5:
                return lost_result
            return result.Failure(errors.TableUnavailableError("down"))
        if platform.is_slow and platform.random.random() < 0.5:
            platform.clock.call_later(
                platform.random.uniform(0.1, MAX_DELAY_S),
                lambda: platform.table.commit(checks, writes),
            )
            return lost_result
        reply = platform.table.commit(checks, writes)
        is_lost = platform.loses_answers and platform.random.random() < 0.5
        return lost_result if is_lost else reply

    def _read(self, read):
        is_late = (
            self._platform.is_slow and self._platform.random.random() < 0.3
        )
        if self._is_disconnected() or is_late:
            return result.Failure(errors.TableUnavailableError("timeout"))
        return read()

    def _is_disconnected(self):
        return (
            self._platform.is_down
            or self._zone in self._platform.disconnected_zones
        )


class SoakMachines(machines.MachineList):
    """VM list client of one entry VM."""

    def __init__(self, platform, zone):
        self._platform = platform
        self._zone = zone

    def read(self):
        if (
            self._platform.is_down
            or self._zone in self._platform.disconnected_zones
        ):
            return result.Failure(errors.MachineListError("down"))
        return self._platform.machines.read()


class EntryVmProcess:
    """One process of an entry VM, with its router.

    Attributes:
        name: Name of the entry VM.
        zone: Zone of the entry VM.
        address: Peer address.
        process: State of the process.
        highest_version: Highest configuration version that it has applied, as
            far as the invariant checks have seen it.
        entry: The entry VM.
        router: Its router.
    """

    def __init__(self, cell, name, zone, number):
        self.name = name
        self.zone = zone
        self.address = f"{name}:1"
        self.process = SimulatedProcess(name, cell.random)
        self.highest_version = 0
        process_timers = ProcessTimers(cell.clock, self.process)
        identity = entry_module.Identity(
            name, zone, self.address, f"{name}:80", f"{name}-{number}"
        )
        self.entry = entry_module.EntryVm(
            identity, cell.create_surroundings(self, process_timers)
        )
        self.router = router_module.create_router(
            self.entry, cell.random.getrandbits(32)
        )
        self.entry.start()


class SoakCell:
    """Entry VMs, workers and the platform on one clock.

    Attributes:
        clock: Manual timers that drive all parts.
        random: Source of all draws.
        vms: Current process by entry VM name.
        workers: Worker by name, None while it is down.
        all_workers: All workers so far, also those that were replaced.
        worker_links: Link by worker name.
        transport: Delivers the calls of entry VMs.
        platform: The platform.
    """

    def __init__(self, seed, plan):
        self.clock = timers.create_manual_timers()
        self.random = random.Random(seed)
        self.platform = Platform(self.clock, self.random)
        self.transport = Transport(self.clock, self.random)
        self._plan = plan
        self._links = {
            frozenset((one, other)): Link() for one in ZONES for other in ZONES
        }
        self.workers = {}
        self.all_workers = []
        self.worker_links = {}
        self.vms = {}
        self._process_count = 0
        for zone in ZONES:
            for index in range(WORKERS_PER_ZONE):
                name = f"{zone}-worker-{index}"
                self.worker_links[name] = Link()
                self.start_worker(name)
        for zone in ZONES:
            for index in range(VMS_PER_ZONE):
                self.start_vm(f"{zone}-entry-{index}")

    def start_vm(self, name):
        """Starts a process of an entry VM and kills the previous one."""
        if name in self.vms:
            self.vms[name].process.state = ProcessState.KILLED
        self.platform.mark(name, machines.MachineState.LIVE)
        self._process_count += 1
        self.vms[name] = EntryVmProcess(
            self, name, name[:6], self._process_count
        )

    def kill_vm(self, name):
        """Kills an entry VM; the VM list drops it after a lag."""
        self.vms[name].process.state = ProcessState.KILLED
        self.platform.mark(name, None)

    def start_worker(self, name):
        """Starts a worker without records."""
        worker = memoryworkers.MemoryWorker(
            name,
            CAPACITY,
            SLOTS,
            self.clock,
            lambda start: self._plan(name, start),
            has_lost_records=name in self.workers,
        )
        self.workers[name] = worker
        self.platform.mark(name, machines.MachineState.LIVE)
        self.all_workers.append(worker)

    def kill_worker(self, name):
        """Kills a worker and all of its running tasks."""
        worker, self.workers[name] = self.workers[name], None
        self.platform.mark(name, None)
        for running in worker._running.values():
            if running.end_timer is not None:
                running.end_timer.cancel()
        worker._running.clear()

    def find_vm(self, address):
        """Returns the entry VM that listens on an address."""
        return self.vms.get(address.partition(":")[0])

    def get_link(self, zone, other):
        """Returns the link between two zones."""
        return self._links[frozenset((zone, other))]

    def list_links(self):
        """Returns the links between zones and to workers."""
        return [*self._links.values(), *self.worker_links.values()]

    def create_surroundings(self, vm, process_timers):
        """Returns the dependencies of an entry VM."""

        def repeat(period_s, action):
            process_timers.call_later(0.0, action)
            return process_timers.subscribe(period_s, action)

        return entry_module.Surroundings(
            timers=process_timers,
            table=SoakTable(self.platform, vm.zone),
            peers=SoakPeers(self, vm),
            create_client=lambda w: SoakClient(self, vm.process, w.name),
            repeat=repeat,
            machines=SoakMachines(self.platform, vm.zone),
            seeds=tuple(
                other.address
                for other in self.vms.values()
                if other.zone == vm.zone and other is not vm
            ),
        )

    def describe_inventory(self, draining=()):
        """Returns the inventory of all workers."""
        return inventory.assign_shards(
            inventory.Inventory(
                zones=[
                    inventory.Zone(name=zone, shards=SHARDS_PER_ZONE)
                    for zone in ZONES
                ],
                workers=[
                    inventory.Worker(
                        name=name,
                        zone=name[:6],
                        rack=f"rack-{index % 2}",
                        host="10.0.0.1",
                        port=1000 + index,
                        cpu_millis=CAPACITY.cpu_millis,
                        memory_mib=CAPACITY.memory_mib,
                        slots=SLOTS,
                        draining=name in draining,
                    )
                    for index, name in enumerate(self.worker_links)
                ],
            )
        )

    def heal(self):
        """Ends all faults and starts all processes that are down."""
        self.platform.is_down = self.platform.is_slow = False
        self.platform.loses_answers = False
        self.platform.disconnected_zones.clear()
        for link in self.list_links():
            link.is_disconnected = link.loses_answers = link.is_delayed = False
        for name, worker in self.workers.items():
            if worker is None:
                self.start_worker(name)
            self.workers[name].leaving = False
            self.platform.mark(name, machines.MachineState.LIVE)
        for name, vm in list(self.vms.items()):
            if vm.process.state is ProcessState.KILLED:
                self.start_vm(name)
            elif vm.process.state is ProcessState.PAUSED:
                vm.process.resume()


def _forward_result(value, reply):
    if isinstance(value, futures.Future):
        value.add_done_callback(lambda f: reply(f.result()))
    else:
        reply(value)
