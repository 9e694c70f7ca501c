"""Every constant of the service, with its unit and the reason for its value.

Deployment limits are not here: they come from the settings file and the cloud.
Values that an operator may change are the defaults of `settings.Tuning`.
"""

# --- interface limits (set by the protocol) --------------------------------------------
MAX_BODY = 64 * 1024  # bytes; larger request bodies are refused with 413
MAX_TASKS = 100_000  # tasks in the largest job that a user may submit
# CPUs, GB or accelerators. Smaller amounts are raised to the minimum, so that quotients are
# finite; the maximum exceeds any machine and keeps sums and quotients finite.
AMOUNT_MIN = 1e-6
AMOUNT_MAX = 1e9
DURATION_MIN_S = 1e-3  # s; shorter estimates are raised to this
DURATION_MAX_S = 1e9  # s (30 years); longer estimates are lowered to this
NAME_MAX_CHARS = 200  # characters in the name of a team, class, machine type or zone
IMAGE_NAME_MAX_CHARS = 500  # characters; fits a registry path with a digest
# Bytes of such names in JSON with escapes: a transaction of 24 submissions stays under 64 KiB.
NAME_MAX_ESCAPED_BYTES = 600
IMAGE_NAME_MAX_ESCAPED_BYTES = 1000
MAX_RENT = 50  # machines in one rental request
MAX_RETURN = 100  # machines in one return request
LIST_PAGE = 500  # machines in the largest page of the cloud's list
STORE_PAGE = 1000  # items in the largest page of the state service
MIN_BILLED_S = 60.0  # s; the minimum time that a machine is billed for

# --- state service ---------------------------------------------------------------------
# s. Answers take milliseconds, sometimes a few hundred; after this the outcome is unknown. A lower
# limit would stop the service whenever the store is slow; users wait 5 s.
STORE_TIMEOUT_S = 4.0
# s waited for an answer before a commit is sent again, for each repetition. Answers take
# milliseconds, a few of them 0.25 s; lost ones never arrive.
COMMIT_HEDGE_DELAYS_S = (0.06, 0.25, 1.0, 1.0)
# Share of a node's changes for repeated commits; limits load on a slow store.
COMMIT_HEDGE_SHARE = 0.1
# Writes read back at most to find out whether an earlier copy was applied.
COMMIT_HEDGE_MAX_READS = 8
WATCH_WAIT_S = 1.0  # s that a watch request waits; its answer proves contact with the store
WATCH_MAX_UNANSWERED = 2  # consecutive watches without an answer before the keys are read instead
WATCH_MIN_INTERVAL_S = 0.1  # s; minimum time between two watches, so that bursts share one answer
# Share of a node's requests for the watch, which returns on every change.
WATCH_REQUEST_SHARE = 0.25
RETRY_S = 0.25  # s; first pause after a failed call, doubled up to RETRY_MAX_S
RETRY_MAX_S = 2.0  # s; the end of an outage is noticed within this time
LEADER_SHARE = 0.6  # share of the store's request budgets that the leader may use
MEMBER_LEASE_S = 1.6  # s; lease of a member: a dead one is noticed after this time
MEMBER_LEASE_RENEW_S = 0.3  # s between renewals; five fit into a lease, so single losses do no harm
# s; a new attempt is faster than the retransmission of a lost packet, and a late answer still
# counts.
MEMBER_LEASE_TIMEOUT_S = 0.3
# s within which a new view must be written before its writer checks again.
VIEW_WRITE_TIMEOUT_S = 3.0
# s that each candidate waits per candidate before it; a takeover takes less.
SUCCESSION_STEP_S = 0.15
# s more for a candidate with lost connections of its own: it leads only if no other node does.
SUCCESSION_ISOLATED_DELAY_S = 5.0
# Times in a row that a restarted leader may resume its leadership; then it names a successor.
LEADER_MAX_RESUMPTIONS = 1
# s that it then waits to hear from a possible successor; if none is heard, it leads itself.
SUCCESSOR_WAIT_S = 1.0
# Bytes of final records from other interfaces in a transaction; together with TXN_BYTES of slots
# and the announcements of these ends it stays under the service's 64 KiB.
TXN_FINAL_RECORD_BYTES = 12 * 1024
TXN_BYTES = 48 * 1024  # bytes; transactions stay well under the service's 64 KiB

# --- records ---------------------------------------------------------------------------
LAYOUT = 2  # version of the leader's records; 1 had one key per machine and job
LAYOUT_PAGES = 3  # of slots with further pages of a machine, which builds for 2 must not ignore
SLOTS_MIN = 16  # minimum number of slots; more than one transaction ever writes
# Multiple of the live bytes: overwriting the oldest slot then copies over a third.
SLOTS_SPARE_FACTOR = 3
# Share of the value limit that a slot uses; the rest is for framing and escapes.
SLOT_FILL_SHARE = 0.85
SLOTS_PER_TXN = 6  # slots that one transaction writes at most; their bytes stay under TXN_BYTES
UNREADABLE_RETRY_S = 5.0  # s before a node whose records could not be decoded tries to lead again
CHUNK_TASKS = 512  # tasks per progress item; 128 characters as a bitmap
MACHINE_PLACEMENTS = 200  # placements on one machine
VALUE_BYTES_MIN = 512  # bytes of a value that are never reduced further after refusals
TXN_OPS_MIN = 4  # changes in a transaction: a slot and the final records of a job
LIMIT_SHARE_MIN = 1 / 16  # of the configured limits, after several refusals
LIMIT_RAISE_S = 60.0  # s after a refusal before larger writes are tried again
REFUSED_RETRY_S = 5.0  # s between transactions while the smallest ones are refused
TERMINAL_CACHE = 20_000  # jobs whose final state a node remembers without a read
REMOVED_JOBS_KEPT = 2_000  # removed jobs that are remembered, to ignore late changes from the watch
GONE_MACHINES_KEPT = 5_000  # machines proven gone that are remembered, to ignore their late reports

# --- users -----------------------------------------------------------------------------
# s that a submission may spend on the store before its user is asked to retry.
SUBMIT_STORE_TIMEOUT_S = 2.0
POLL_STORE_TIMEOUT_S = 1.2  # s that a poll may spend on the store; users wait 2 s
# s without store contact after which a node is unhealthy if its peers have contact.
STORE_CONTACT_STALE_S = 2.5
SUBMIT_BATCH_MAX = 24  # submissions in one transaction
# s of this node's share of store changes for which submissions may queue; users wait 5 s for an
# answer.
SUBMIT_QUEUE_S = 3.0
RETRY_AFTER_MAX_S = 30  # s; users ignore a longer Retry-After
SUBMIT_BATCH_S = 0.1  # s of a node's share of changes in one transaction of queued submissions
SUBMIT_QUEUE_MIN = 8  # submissions that may queue however small the share is
POLL_QUEUE_MAX = 2_000  # polls that wait for a read of the store; further ones are asked to retry
# s between two reads that polls share, which leaves requests for other uses.
POLL_READ_INTERVAL_S = 0.05
# Share of a node's requests that polls may use. With 20 polls a second out of 20 requests,
# submissions waited 0.15 s each.
POLL_REQUEST_SHARE = 0.25

# --- peers and reports -----------------------------------------------------------------
PING_S = 0.5  # s between pings to each peer
PING_FOLLOWER_S = 0.9  # s between pings of two nodes neither of which leads
PING_TIMEOUT_S = 1.0  # s after which an unanswered ping counts as missed
PEER_FRESH_S = 2.0  # s; a peer heard within this time counts as reachable
# s that a report waits for the leader's answer; its worker gives up after 4 s.
REPORT_ANSWER_TIMEOUT_S = 3.5
RELAY_TIMEOUT_S = 2.0  # s; workers wait 4 s for an answer, which leaves time for a fallback
RELAY_PERIOD_S = 20.0  # s that reports of a worker that came back are relayed before a new redirect
# s; a worker that returns this soon after a redirect cannot reach its target.
REDIRECT_RETURN_S = 6.0
CONTACT_MARGIN_S = 4.0  # s kept between the last possible end of a lease and cancel_s
# Multiple of cancel_s for which a cancellation is sent to peers and remembered; all its tasks are
# gone after one.
CANCEL_KEPT_FACTOR = 4.0
ANSWER_COMMIT_WAIT_S = 0.45  # s that an answer waits at most for the commit of its report's changes
MACHINE_NAME_BYTES = 24  # bytes reserved for a machine's name in a list
# Share of report_s that the answer to an idle machine may wait for new work.
IDLE_ANSWER_SHARE = 0.6

# --- failure detector ------------------------------------------------------------------
SUSPICION_WINDOW = 100  # intervals kept per link: about a minute of pings
# s; minimum standard deviation: a lost packet is retransmitted after 0.2 s.
SUSPICION_MIN_DEVIATION_S = 0.12
SUSPICION_MAX_LEVEL = 30.0  # cap of the suspicion level; higher levels make no difference
SUSPICION_RAISE_LEVEL = 6.0  # level at which suspicion begins: one in a million ordinary intervals
SUSPICION_CLEAR_LEVEL = 2.0  # level down to which a suspicion stays
# s without its reason before a suspicion is cleared, doubled each time it returns.
SUSPICION_CLEAR_S = 1.0
SUSPICION_CLEAR_MAX_S = 30.0  # s; upper limit of that time
SUSPICION_FORGET_S = 60.0  # s after which one return of a suspicion is forgotten
NODE_STATUS_VALID_S = 2.0  # s for which the status that a node reports about itself is valid
# s without store contact that raise suspicion; a watch returns every second.
SUSPICION_STORE_S = 1.8
# s of timer lateness that raise suspicion; a full planning pass for 700 machines takes 0.3 s.
SUSPICION_TIMER_LATE_S = 0.5
# Ends of a node's process within SUSPICION_FORGET_S that raise no suspicion: one is not unusual.
SUSPICION_MAX_ENDS = 1
LEAVE_BACKOFF_S = 2.0  # s without its reason before a node that left returns, doubled each time
LEAVE_BACKOFF_MAX_S = 60.0  # s; upper limit of that time
# s; minimum standard deviation of the time between two reports to a node.
CUT_MIN_DEVIATION_S = 0.25
CUT_MIN_MACHINES = 5  # machines that reported to a node lately; with fewer, silence means little
CUT_KEPT_S = 60.0  # s that a node counts itself as cut off from workers while none reports
SLOW_LEADER_FACTOR = 10.0  # factor by which a leader's timers are later than the best other node's
SLOW_LEADER_S = 3.0  # s that this must last before the leader hands over
# s between two such handovers by one node, doubled while they follow each other.
SLOW_LEADER_BACKOFF_S = 30.0

# --- overload of the leader by its own work ----------------------------------------------
BATCH_COMMANDS = 50  # commands per batch: under 0.1 s, a third of the timeout of a lease renewal
BUSY_DECAY_S = 3.0  # s after which older work counts for a third in the busy share
# Share of time spent on the owner's own work from which lateness is put down to that work. Reading
# requests, which is not included, takes about as long again.
BUSY_SHARE = 0.4
COMPUTE_STEPS = 2000  # steps of the reference computation: about 0.1 ms
COMPUTE_INTERVAL_S = 1.0  # s between two samples: a ten-thousandth of the processor
COMPUTE_SAMPLES = 10  # newest samples, of which the shortest counts: a sample may be interrupted
# Factor over the best other node from which a process is slow, not overloaded.
SLOW_PROCESS_FACTOR = 2.0

# --- reports received by one node and answered by another ------------------------------
# s between two batches to the leader: each costs both sides a millisecond.
REPORT_BATCH_INTERVAL_S = 0.15
REPORT_BATCH_POLL_S = 0.25  # s between two requests for answers while there is nothing to send
# Multiple of PING_S after which a batch asks for the leader's status, like a ping.
REPORT_BATCH_STATUS_PINGS = 0.7
REPORT_BATCH_CONTACT_S = 0.8  # s after the leader's last answer in which suspicion delays no batch
# Bytes of reports in a batch: a quarter of the HTTP library's limit.
REPORT_BATCH_BYTES = 256 * 1024
# Redirected reports in a batch, for information only; a KiB or a few each.
REPORT_BATCH_REDIRECTED = 40
# Batches in flight, so that a slow answer does not delay the next ones.
REPORT_BATCHES_IN_FLIGHT = 3
REPORT_BATCH_TIMEOUT_S = 1.0  # s; a batch is answered at once or lost
REPORT_BATCH_ANSWER_S = 3.2  # s that a report waits for its answer; its worker gives up after 4 s
# s for which the list of nodes that take reports is cached; each report needs it.
HOME_NODES_CACHE_S = 0.2
# s of a node's silence after which the node before it takes no workers: a process that ended is
# restarted by then.
SILENT_NEIGHBOUR_S = 10.0
LEADER_LOST_S = 2.3  # s of suspicion after which the lease of a leader that ended would be over

# --- reports through the store's mailbox -------------------------------------------------
MAIL_INTERVAL_S = 0.4  # s between two messages of a node, so that a zone's reports share a write
MAIL_ANSWER_S = 2.4  # s that an answer by mailbox is awaited; the worker gives up after 4 s
# s between two such reports of one machine that contain no end of a task.
MAIL_MACHINE_INTERVAL_S = 2.0
MAIL_ALIVE_INTERVAL_S = 4.0  # s between two lists of the machines that an isolated node keeps alive
MAIL_REPLY_INTERVAL_S = 0.6  # s that the leader collects answers before it replies
# Share of the value limit that a message uses; the rest is framing and escapes.
MAIL_FILL_SHARE = 0.7
MAIL_SINGLE_FILL_SHARE = 0.95  # the same for a message with a single report
MAIL_REPLY_FILL_SHARE = 0.8  # the same for a reply

# --- zones ------------------------------------------------------------------------------
ZONE_MIN_MACHINES = 5  # machines heard in a zone; with fewer, the silence of most means little
ZONE_UNREACHABLE_SHARE = 0.7  # share of silent machines from which a zone counts as unreachable
ZONE_REACHABLE_SHARE = 0.4  # share of silent machines up to which it counts as reachable
# s of silence in addition to two report intervals: a worker whose controller ended needs one
# interval, and a second to find another controller.
ZONE_SILENT_S = 1.5
ZONE_RELEASE_S = 20.0  # s over which the machines of a zone with only expired leases are returned
ZONE_RECOVERY_S = 10.0  # s for which a zone heard again counts as recovering, doubled each time
ZONE_RECOVERY_MAX_S = 120.0  # s; upper limit of that time

# --- machines --------------------------------------------------------------------------
SILENT_MARGIN_S = 1.5  # s past lease_s before a silent machine is returned
NOTICE_SILENT_S = 3.0  # s of silence after a spot notice from which the machine counts as reclaimed
BOOT_TIMEOUT_FACTOR = 3.0  # multiple of the nominal boot time before a booting machine is returned
BOOT_TIMEOUT_EXTRA_S = 30.0  # s added to it
SUSPECT_JOBS = 2  # jobs that failed with an error on a machine before it is avoided
SUSPECT_TASKS = 2  # failures of one job that completes elsewhere before the machine is avoided
ERROR_MACHINES = 3  # healthy machines on which a job failed before the job is at fault
ERROR_BACKOFF_S = 2.0  # s; pause of a job that is at fault, doubled with each failure
ERROR_BACKOFF_MAX_S = 60.0  # s; upper limit, also for a machine that one job leaves out
# s before a machine on which tasks failed is tried again, doubled with each retry that fails.
RETRY_DELAY_S = 8.0
# s; upper limit for a machine that all jobs leave out: while one job tries it the others wait on,
# and no job may wait 90 s beside a machine with room.
SUSPECT_RETRY_MAX_S = 45.0
SUSPECT_WAIT_S = 20.0  # s that a job waits for another machine before it tries a suspected one
RETRY_PRECEDENCE_S = 10.0  # s by which jobs without failures come first at a suspected machine
RETRY_PROVEN_S = 10.0  # s that a retry must have run to prove its machine well
# Consecutive answers without effect before a machine counts as not receiving: one may be lost.
NOT_RECEIVING_MISSES = 3
NOT_RECEIVING_MIN_S = 6.0  # s that they must span; a worker without answers reports every 5 s
# Answers sent within one lease; the end of the lease shows that they were lost.
NOT_RECEIVING_ANSWERS = 2
# Share of the lease that they must span: not all at once, after a pause.
NOT_RECEIVING_LEASE_SHARE = 0.3
WORKER_GIVE_UP_S = 5.0  # s until a worker without an answer asks the next node: 4 s, then 1 s
# s; a report this soon after an answer shows that the worker did not time out, which takes 4 s and
# 1 s more.
PROMPT_REPORT_S = 4.4
# s within which a machine that was redirected to another node reports there.
REDIRECT_FOLLOWED_S = 2.0
# Such reports in a row that end the suspicion; connections may break now and then.
PROMPT_REPORTS = 3
# Factor on the task limit for each order that took effect; half a second each.
TASK_LIMIT_GROWTH = 4
TASK_LIMIT_MAX = 16  # task limit from which a machine that receives again has no limit any more
NOT_RECEIVING_LEASES = 1.5  # leases within which a machine that does not receive may recover
# The same if many machines are affected: then the network path is at fault, and it recovers.
NOT_RECEIVING_MANY_LEASES = 4.0
# Share of the fleet that may be returned at a time as not receiving; not many.
NOT_RECEIVING_RETURN_SHARE = 0.05
# s from the first report after a silence until new work is assigned, since that report may have
# been delayed. A worker sends two delayed reports half a second apart.
RESUME_DELAY_S = 0.4
# s between two silence checks, which are half a second apart, from which this process was paused
# and the silence of others proves nothing.
PROCESS_PAUSED_S = 3.0
DRAIN_MARGIN_S = 2.0  # s before the end of a spot machine at which checkpoints must be complete

# --- direct requests to machines -------------------------------------------------------
DIRECT_LATE_S = 1.0  # s by which a report must be late before cancelled work is stopped directly
DIRECT_TIMEOUT_S = 1.5  # s; a running machine answers at once
DIRECT_MAX_IN_FLIGHT = 64  # requests in flight: a silent zone has hundreds of machines
DIRECT_RETRY_S = 0.5  # s before an unanswered request is repeated, doubled each time
DIRECT_RETRY_MAX_S = 8.0  # s; upper limit: a machine that hangs keeps the first request waiting

# --- planning --------------------------------------------------------------------------
TIMELINE_STEP_S = 2.5  # s; time step for planning a pool's future, half a cycle
# s after which a job that has never started a task comes first. It has to start within 240 s;
# waiting for capacity, image transfers and a change of leader take a minute or more.
FIRST_START_S = 150.0
FIRST_START_SHARE = 0.125  # share of its tasks that it then starts
# s of waiting after which a job with no running task takes capacity that is reserved for guarantees
# and expected work: no job should wait 90 s while there is capacity.
RESERVED_CAPACITY_WAIT_S = 75.0
# s for which the cloud must refuse every spot type that best-effort work may use before that work,
# if it has waited as long, may use on-demand machines. Requests are made every 15 s, so a
# momentary shortage does not count.
SPOT_REFUSED_S = 60.0
# s within which best-effort work gets its turn on running machines if there are no spot machines.
# With the minute before it, the work starts well within the operators' 240 s.
BACKLOG_S = 60.0
LONG_WAIT_SHARE = 0.15  # share of capacity that work which waited longer may have before other work
EVENT_PASS_S = 0.15  # s between two cheap passes, so that task exits share one
# s of expected work to keep accelerators free for; about a boot or an image fetch.
EXPECTED_WORK_S = 30.0
# Recent demand is counted in this many parts of the given s each. Their median is used, so that a
# single burst does not count as usual demand.
DEMAND_PERIODS = 6
DEMAND_PERIOD_S = 20.0
ARRIVALS_KEPT = 20  # arrival times kept per class, to estimate how often jobs arrive
# Multiple of the usual interval without an arrival after which no more jobs are expected. One in
# 150 such intervals is as long, and all prompt classes must be quiet at the same time.
ARRIVAL_GAP_FACTOR = 5.0
ARRIVAL_GAP_MIN_S = 20.0  # s; minimum of that time; a burst ends no sooner
# Recent jobs' CPU and RAM use per accelerator, kept free beside free accelerators.
ACCELERATOR_USES_KEPT = 32
# Relative change of a prediction after which the trace records it again.
PREDICTION_TRACE_CHANGE = 0.05
# Multiple of a pass's own duration before the next: planning stays under a tenth.
PASS_INTERVAL_FACTOR = 12
# s from a takeover to the first pass: nodes forward waiting reports within 0.1 s.
FIRST_PASS_DELAY_S = 0.3
ARRIVAL_CYCLE_S = 0.5  # s between two full cycles that new jobs trigger early
COMMIT_INTERVAL_S = 0.08  # s between two scheduling commits, so that changes share one
HISTORY_WRITE_S = 20.0  # s between two writes of the histories
HISTORY_BYTES = 6 * 1024  # bytes of one history record, below the smallest value limit observed
FEATURES_MAX = 400  # feature values kept; the least recently used are evicted first
# Report intervals within which a new leader hears from every reachable machine: one, a quarter
# more, and a redirect.
FIRST_REPORT_INTERVALS = 1.5
CANCEL_RETURN_SHARE = 0.6  # share of cancel_s after which a machine with unproven ends is returned
