"""Soak test with further kinds of submissions, changes and checks.

Beside the load and the faults of the plain soak: schedules, labels,
long-running tasks, cancellations that don't wait for an answer; queues and the
service leave the configuration and come back; workers reject starts or restart
as another kind; counts of waiting submissions are checked.
"""

import asyncio
import json
import random
import signal
import time

from persimmonpath_entry.transport import httpclient
from tests.entry import soak

PREFIX = "/renewals/"
ATTEMPTS = 6
ARRIVALS_PER_S = 3.0
CANCEL_TIMEOUT_S = 25.0
# A prompt caller waits this long for an answer before it cancels.
PROMPT_S = 0.4
# Age from which the count has to contain a submission that hasn't started, and
# number of consecutive counts that have to be too low.
COUNTED_AGE_S = 5.0
LOW_COUNTS = 3
COUNT_PAUSE_S = 0.5
# A worker that restarts as another kind is down for this time.
DOWN_S = 1.5
SMALL_CPU = 4000
# One schedule of each run is long enough to outgrow a row of the store, if each
# of its occurrences had an entry there.
LONG_SCHEDULE = {"runCount": 240, "intervalMs": 20}


class VariedSoak(soak.Soak):
    """One run of the varied soak; see the module."""

    def __init__(self, seed, *arguments):
        super().__init__(seed, *arguments)
        self.varied_random = random.Random(seed + 3)
        self.varied_ids = set()
        self.version = 3

    def list_activities(self):
        """Adds the varied load, changes and checks."""
        return [
            *super().list_activities(),
            self.submit_varied(),
            self.inject_changes(),
            self.check_counts(),
        ]

    def add_worker(self, worker):
        """Adds a worker; the last one is of another kind."""
        if len(self.workers) == soak.WORKERS - 1:
            worker.labels[0] = "b"
        super().add_worker(worker)

    def find_path(self, submission_id):
        """Returns the path of a submission of either queue."""
        if submission_id in self.varied_ids:
            return PREFIX + submission_id
        return super().find_path(submission_id)

    def make_configuration(self):
        """Returns the configuration with both queues."""
        configuration = super().make_configuration()
        plain = configuration["routes"][0]
        renewals = {
            **plain,
            "name": "renewals",
            "pathPrefix": PREFIX,
            "maxAttempts": ATTEMPTS,
        }
        del renewals["advice"]
        configuration["routes"].append(renewals)
        return configuration

    async def configure(self, has_renewals=True, has_service=True):
        """Writes the next version of the configuration."""
        configuration = self.make_configuration()
        self.version += 2
        configuration["version"] = self.version
        if not has_renewals:
            configuration["routes"].pop()
        if not has_service:
            configuration["routes"] = []
            configuration["services"] = [{"name": "other"}]
        await self.store.write("op", "config", configuration)

    # Load.

    async def submit_varied(self):
        """Submits at random intervals for the duration of the soak."""
        deadline = time.monotonic() + self.seconds
        kinds = [
            self.run_schedule,
            self.run_labelled,
            self.run_stubborn,
            self.run_standing,
        ]
        tasks = [asyncio.create_task(self.run_schedule(LONG_SCHEDULE))]
        while time.monotonic() < deadline:
            kind = self.varied_random.choice(kinds)
            tasks.append(asyncio.create_task(kind()))
            await asyncio.sleep(self.varied_random.expovariate(ARRIVALS_PER_S))
        await asyncio.gather(*tasks)

    async def submit_body(self, calls, timeout_s=3.0, **fields):
        """Submits a body with some fields; returns the id."""
        submission_id = f"{self.varied_random.getrandbits(64):016x}"
        self.varied_ids.add(submission_id)
        spec = f"run {self.varied_random.random()}"
        body = {"spec": spec, **fields}
        self.checker.submissions[submission_id] = {**body, "attempts": ATTEMPTS}
        data = json.dumps(body).encode()
        for _ in range(calls):
            path = self.find_path(submission_id)
            response = await self.call("POST", path, data, timeout_s)
            is_answered = isinstance(response, httpclient.Response)
            if is_answered and response.status == 200:
                self.accepted[submission_id] = time.monotonic()
                break
            await asyncio.sleep(0.3)
        return submission_id

    def draw_step(self, **fields):
        """Returns a small step with some fields."""
        step = {"count": 1, "cpu": 200, "memMb": 50, "estimatedMs": 400}
        return {**step, **fields}

    async def run_schedule(self, schedule=None):
        """Submits a schedule whose occurrences overlap."""
        steps = [self.draw_step(count=self.varied_random.randint(1, 2))]
        if self.varied_random.random() < 0.5:
            steps.append(self.draw_step(after=[0]))
        if schedule:
            steps = [self.draw_step(cpu=20), self.draw_step(cpu=20)]
        drawn = {
            "runCount": self.varied_random.randint(2, 8),
            "intervalMs": self.varied_random.choice([50, 300]),
        }
        await self.submit_body(
            soak.MAX_CALLS,
            steps=steps,
            startTimeMs=int(time.time() * 1000),
            **(schedule or drawn),
        )

    async def run_labelled(self):
        """Submits a task for workers of one kind."""
        label = self.varied_random.choice("ab")
        step = self.draw_step(requirements=label)
        await self.submit_body(soak.MAX_CALLS, steps=[step])

    async def run_stubborn(self):
        """Submits a task that is done only at its last attempt."""
        await self.submit_body(
            soak.MAX_CALLS,
            steps=[self.draw_step(failures=ATTEMPTS - 1)],
        )

    async def run_standing(self):
        """Submits a long-running task and cancels it, at times at once."""
        is_prompt = self.varied_random.random() < 0.5
        submission_id = await self.submit_body(
            1 if is_prompt else soak.MAX_CALLS,
            PROMPT_S if is_prompt else 3.0,
            steps=[self.draw_step(longRunning=True)],
        )
        if not is_prompt:
            await asyncio.sleep(self.varied_random.uniform(1.0, 4.0))
        deadline = time.monotonic() + CANCEL_TIMEOUT_S
        while not await self.cancel(submission_id):
            if time.monotonic() > deadline:
                text = f"cancel of {submission_id} isn't confirmed"
                self.checker.violations.add("LOST", text)
                return
            await asyncio.sleep(0.3)

    # Changes.

    async def inject_changes(self):
        """Makes a change at random intervals for the duration of the soak."""
        deadline = time.monotonic() + self.seconds
        changes = [
            self.drop_queue,
            self.drop_service,
            self.reject_starts,
            self.delay_transactions,
            self.change_kind,
        ]
        await asyncio.sleep(2.0)
        while time.monotonic() < deadline:
            change = self.varied_random.choice(changes)
            self.record_event(change.__name__)
            await change()
            await asyncio.sleep(self.varied_random.uniform(0.3, 1.5))
        await self.configure()

    async def drop_queue(self):
        """Removes a queue for a while; an owner ends meanwhile."""
        await self.configure(has_renewals=False)
        await asyncio.sleep(1.0)
        vm = self.varied_random.choice(self.vms)
        await self.replace(vm)
        await asyncio.sleep(self.varied_random.uniform(1.0, 3.0))
        await self.configure()

    async def drop_service(self):
        """Removes the service; all VMs are restarted meanwhile."""
        await self.configure(has_service=False)
        await asyncio.sleep(1.0)
        await asyncio.gather(*(self.replace(vm) for vm in self.vms))
        # The new processes read the owner rows without the service.
        await asyncio.sleep(3.0)
        await self.configure()

    async def replace(self, vm):
        """Shuts a VM down gracefully and starts it again."""
        await vm.terminate(signal.SIGTERM)
        if vm.process.poll() is not None:
            vm.start()

    async def reject_starts(self):
        """Has one worker or all of them reject all starts for a while."""
        workers = self.workers
        rejecting_s = COUNTED_AGE_S + 3.0
        if self.varied_random.random() < 0.5:
            workers = [self.varied_random.choice(workers)]
            rejecting_s = self.varied_random.uniform(1.0, 4.0)
        for worker in workers:
            worker.rejecting = True
        await asyncio.sleep(rejecting_s)
        for worker in workers:
            worker.rejecting = False

    async def delay_transactions(self):
        """Has the store carry out some transactions late and unanswered."""
        self.store.delay_s = 3.0
        self.store.unanswered_share = 0.4
        await asyncio.sleep(self.varied_random.uniform(2.0, 4.0))
        self.store.unanswered_share = 0.0

    async def change_kind(self):
        """Restarts a worker as another kind with another capacity."""
        worker = self.varied_random.choice(self.workers)
        worker.link.mode = "reset"
        worker.link.reset()
        worker.restart()
        await asyncio.sleep(DOWN_S)
        is_large = worker.capacity["cpu"] > SMALL_CPU
        cpu = SMALL_CPU if is_large else 2 * SMALL_CPU
        worker.capacity = {**worker.capacity, "cpu": cpu}
        if worker not in (self.workers[0], self.workers[-1]):
            # Workers of both kinds stay, so that every task can run.
            kind = "b" if worker.labels[0] == "a" else "a"
            worker.labels = [kind, worker.labels[1]]
        worker.restart()
        # Its entry is renewed up to a second later.
        worker.link.mode = "pass"

    # Checks.

    async def check_counts(self):
        """Compares the count of waiting submissions with what workers saw."""
        deadline = time.monotonic() + self.seconds
        low_counts = 0
        while time.monotonic() < deadline:
            await asyncio.sleep(COUNT_PAUSE_S)
            response = await self.call("GET", PREFIX)
            waiting = self.checker.count_waiting(
                {i: self.accepted[i] for i in self.accepted_varied()},
                COUNTED_AGE_S,
            )
            is_answered = isinstance(response, httpclient.Response)
            if not is_answered or response.status != 200:
                low_counts = 0
                continue
            count = json.loads(response.body)["waiting"]
            low_counts = low_counts + 1 if count < waiting / 2 else 0
            if low_counts >= LOW_COUNTS:
                text = f"{count} given as waiting for {waiting}"
                self.checker.violations.add("MIXED", text)

    def accepted_varied(self):
        """Returns the ids of the accepted submissions of the second queue."""
        return [i for i in self.accepted if i in self.varied_ids]
