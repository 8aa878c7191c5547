// Package mgquarantine detects requests, and parts of prompts, that crash the upstreams that run
// them, and holds such requests back.
//
// # Problem
//
// One request body can crash each engine that runs it, as it begins or in the middle of its answer,
// together with the two dozen other generations there. Its caller repeats it through other entries,
// and an entry that retries it crashes a second engine. Without shared state such a request goes through all
// engines of a service faster than they restart. The cause may also be a part of the prompt that
// many requests have in common, no two of which are alike otherwise.
//
// # Decision
//
// A request is identified by its Digest. An attempt is evidence when its upstream crashed
// while the attempt was about to begin there or ran. All that runs on an
// upstream ends with it, so a single crash says little. A request is held after three
// crashes, by these rules:
//
//   - crashes within a short window count once, as when an availability zone is lost, and
//     so do crashes whose order can't be proven;
//   - among the attempts at one upstream, those that had just begun are suspected before
//     those that were still waiting. One that ran for longer is suspected beside them;
//   - where two explain as many crashes, the one whose upstreams ended at about one place of its
//     answers is suspected before the one that was anywhere in them, and one that was never
//     answered before any other;
//   - a crash that is explained by a request involved in more crashes counts against no
//     other request;
//   - an answer to the request, from any upstream, voids the evidence against it. So does a
//     generation that goes on for twice as long as the attempt had run at the crash, unless its own
//     upstream crashes later.
//
// A generation in progress is stopped where its request becomes held and it hasn't passed the place
// at which the upstreams ended. Of upstreams that end at one moment only the first few are recorded
// with all that they ran, since no request ends many at once.
//
// A part is suspected and held like a request, with four differences:
//
//   - parts of a service and model are identified by their names alone, whichever account
//     sends them. The last part of a prompt is its request's own and isn't considered;
//   - an answer to a request with the part also voids the crashes of a short time after it.
//     What most requests have in common is in most crashes, and is answered all the time;
//   - once there are two occurrences all crashes count, also those of one moment, because
//     requests with the part come at many processes at once;
//   - the narrowest explanation is preferred: a request before its parts where both explain as
//     many crashes, a later part of a prompt before an earlier one that explains few more.
//
// Once its hold is over, a request is tried again, one attempt at a time, first by the
// process that ranks first for it, by rendezvous hashing of the digest (see New), and
// with time by more processes. The attempt is recorded as it begins, and all processes await
// its outcome. If the upstreams crashed for another reason, an answer
// ends the quarantine; a further crash holds the request for longer.
//
// Where all processes were lost at once, none knows what has crashed upstreams before. Until the
// records of a process reach back for a time (see Quarantine.Begin), by itself or by those of a peer
// that runs on, it holds a request after one crash as it began, or two in the middle of its answers,
// unless the crash is one of many at a moment.
//
// # State
//
// Evidence and answers are stored as records of type Record. Records are only added, so that
// processes can exchange them in any order and more than once (a grow-only set). Each
// record carries its age instead of a time. Nothing is persisted.
//
// The network delay of a record isn't known. The age that a record carries is therefore a
// lower bound, and the time of the occurrence that a process computes from it is an upper
// bound. Of the bounds that several copies of a record give, a process keeps the smallest.
// One occurrence is later than another when a single clock proves it. That is the clock of
// the process that saw both crashes, or of the process that saw the later one. If one
// process saw only the later crash, its clock proves the order if the attempt of the later
// crash was sent after the upper bound of the time of the earlier crash, or if the upstream
// of the later crash ended at least a window after that upper bound. The process that saw
// the later crash lists the earlier records in its own record (Record.Earlier), and adds a
// follow-up record when a copy that came on a faster path proves more. All processes count
// by these references and not by times of their own. If a process or its clock pauses, its
// attempts that are in progress then prove nothing about the order.
//
// # Terms
//
//   - crash: the end of an upstream's process without notice.
//   - occurrence: all crashes within one window, which count once.
//   - sound: the name of a request in the tests of the order of crashes (order_test.go),
//     where no upstream answers it.
//   - part: a piece of a prompt that other requests may contain, such as a document.
//   - hold: the time for which a request, or all with a part, is sent to no upstream.
//   - trial: an attempt of a request in quarantine whose hold is over. The processes admit one
//     at a time, and for a short time after the hold only one process admits any.
//   - narrow, broad: a part that comes later in a prompt explains less, since what comes before
//     it is shared by more requests.
//   - quarantine: the state of a request from its first hold until an answer or expiry,
//     also while no hold is in effect.
//   - incarnation: one run of a process, from its start to its end.
//
// # References
//
//   - L. Lamport, Time, clocks, and the ordering of events in a distributed system,
//     Communications of the ACM 21 (1978), on what clocks of several processes can tell.
//   - G. Hohpe, B. Woolf, Enterprise Integration Patterns (2003), on poison messages.
//   - M. Shapiro and others, Conflict-free replicated data types, SSS (2011).
//   - V. Chvátal, A greedy heuristic for the set-covering problem, Mathematics of
//     Operations Research 4 (1979).
package mgquarantine
