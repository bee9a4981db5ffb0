//! Tells the leader of streams that begin at this router, and asks it who began a stream that a caller takes
//! up again.

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::oneshot;

use super::events::{self, RequestEvent};
use super::refusal::RefusalReason;
use super::state::RouterState;
use super::{RequestInfo, wait_limit};
use crate::coordinator::client::VoterClient;
use crate::coordinator::message::{Reply, Request, StreamReport};
use crate::ids::{ServiceName, SoftwareVersion};
use crate::membership::feed::FeedCursor;
use crate::origins::StreamKey;
use crate::origins::message::{Origin, OriginQuery, Writer};
use crate::origins::recent::ReportTime;
use crate::routes::Route;

/// Pause before the leader is told of streams, so that a burst causes one message.
const MIN_REPORT_PAUSE_MS: u64 = 3;
/// The pause grows by one millisecond for each of this many routers, up to the upper bound.
const ROUTERS_PER_MS: u64 = 8;
const MAX_REPORT_PAUSE_MS: u64 = 50;
/// Pause for each router before the leader is told of streams that one writer alone can have begun, so that the
/// leader gets no more than 500 such reports a second. Streams of a router that is lost within it are not known.
const RELAXED_PAUSE_PER_ROUTER_MS: u64 = 2;
const MAX_RELAXED_PAUSE_MS: u64 = 1_000;
/// Longest time for which the first event of a stream is held back until the leader knows who wrote it.
/// Beyond it, the stream can't be continued if this router is lost before that.
const MAX_TELL_WAIT: Duration = Duration::from_millis(80);
/// Timeout of telling the leader.
const REPORT_TIMEOUT_MS: u64 = 600;
/// Pause before a report that no leader took is sent again.
const REPORT_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Pause before the leader is asked, so that a burst causes one message.
const ASK_PAUSE: Duration = Duration::from_millis(2);
/// Timeout of asking the leader.
const ASK_TIMEOUT_MS: u64 = 400;
/// Pauses before the leader is asked again about a stream of which it knows nothing: another router may be
/// about to tell it. Together they are longer than the time that this takes.
const UNKNOWN_RETRY_PAUSES: [Duration; 2] =
    [Duration::from_millis(100), Duration::from_millis(250)];
/// Pause before the leader is asked again if none answered.
const LEADER_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// A query that waits for the leader, and where its answer goes.
pub(super) struct WaitingQuery {
    query: OriginQuery,
    answer: oneshot::Sender<Option<Origin>>,
}

/// Finds out who began a stream that a caller takes up again.
///
/// # Errors
/// Why the stream can't be continued.
pub(super) async fn find_writer(
    router: &RouterState,
    route: &Route,
    info: &RequestInfo,
    arrived_ms: u64,
    deadline_ms: u64,
) -> Result<Writer, RefusalReason> {
    let services: Vec<_> = route.destinations.iter().map(|share| share.service.clone()).collect();
    let stream = info.began_with.as_deref().and_then(StreamKey::of);
    let query = OriginQuery { stream, services };
    let limit_ms = wait_limit::max_origin_wait_ms(route, deadline_ms.saturating_sub(arrived_ms));
    let (origin, asked) = ask_until(router, &query, arrived_ms + limit_ms).await;
    let writer = match origin {
        Origin::Known(writer) => Some(writer),
        Origin::Unknown => None,
    };
    let event = RequestEvent::Origin {
        began_with: info.began_with.as_deref(),
        software: writer.as_ref().map(|writer| writer.software.as_str()),
        asked,
        elapsed_ms: router.now_ms().saturating_sub(arrived_ms),
    };
    events::emit(&info.id, &event);
    writer.ok_or(RefusalReason::UnknownOrigin)
}

/// Asks the leader until it knows the stream or the time is up. Also returns how often it was asked.
async fn ask_until(router: &RouterState, query: &OriginQuery, give_up_ms: u64) -> (Origin, u32) {
    let mut unknown_pauses = UNKNOWN_RETRY_PAUSES.into_iter();
    let mut asked = 0;
    loop {
        asked += 1;
        let pause = match ask(router, query.clone()).await {
            Some(known @ Origin::Known(_)) => return (known, asked),
            Some(Origin::Unknown) => unknown_pauses.next(),
            None => Some(LEADER_RETRY_PAUSE),
        };
        match pause.filter(|_| router.now_ms() < give_up_ms) {
            Some(pause) => tokio::time::sleep(pause).await,
            None => return (Origin::Unknown, asked),
        }
    }
}

/// Asks the leader together with other requests; `None` if none answered.
async fn ask(router: &RouterState, query: OriginQuery) -> Option<Origin> {
    let (answer, answered) = oneshot::channel();
    router.origin_queries.borrow_mut().push(WaitingQuery { query, answer });
    router.origins_wanted.notify_one();
    answered.await.ok().flatten()
}

/// Asks the leader the queries that wait.
pub(super) async fn ask_origins(client: Rc<VoterClient>, router: Rc<RouterState>) {
    loop {
        router.origins_wanted.notified().await;
        tokio::time::sleep(ASK_PAUSE).await;
        let waiting = router.origin_queries.take();
        if waiting.is_empty() {
            continue;
        }
        let request =
            Request::FindStreams(waiting.iter().map(|waiting| waiting.query.clone()).collect());
        let answers = match client.ask_leader(&request, ASK_TIMEOUT_MS, ASK_TIMEOUT_MS).await {
            Ok(Reply::Origins(origins)) => origins,
            other => {
                log::info!(queries = waiting.len(); "no leader knows who began streams: {:?}", other.err());
                Vec::new()
            }
        };
        let mut answers = answers.into_iter();
        for WaitingQuery { answer, .. } in waiting {
            // The request may have been cancelled meanwhile.
            let _ = answer.send(answers.next());
        }
    }
}

/// Tells the leader of streams that began here.
pub(super) async fn report_streams(client: Rc<VoterClient>, router: Rc<RouterState>) {
    loop {
        router.wait_until_report_is_due().await;
        report_once(&client, &router).await;
        while router.next_report_time() == Some(ReportTime::BeforeFirstEvent) {
            report_once(&client, &router).await;
        }
    }
}

async fn report_once(client: &VoterClient, router: &RouterState) {
    let begun = router.recent_streams.borrow_mut().take_report();
    let streams_told = router.recent_streams.borrow().told_after_report();
    if tell(client, &StreamReport { begun, streams_told }).await {
        router.recent_streams.borrow_mut().confirm_report();
        router.streams_told.notify_waiters();
    } else {
        router.recent_streams.borrow_mut().put_back();
        tokio::time::sleep(REPORT_RETRY_PAUSE).await;
    }
}

async fn tell(client: &VoterClient, report: &StreamReport) -> bool {
    let request = Request::RecordStreams(report.clone());
    match client.ask_leader(&request, REPORT_TIMEOUT_MS, REPORT_TIMEOUT_MS).await {
        Ok(Reply::Done) => true,
        other => {
            log::info!("no leader takes who began streams: {:?}", other.err());
            metrics::counter!("fescuebay_stream_reports_lost_total").increment(1);
            false
        }
    }
}

impl RouterState {
    /// Remembers who writes the first events of a stream. Returns once the leader was told if others can have
    /// written them.
    pub(super) async fn tell_begun_stream(
        &self,
        route: &Route,
        info: &RequestInfo,
        service: &ServiceName,
        software: Option<&SoftwareVersion>,
    ) {
        let began_with = info.began_with.as_deref().unwrap_or(&info.id);
        let (Some(stream), Some(software)) = (StreamKey::of(began_with), software) else { return };
        let writer = Writer { service: service.clone(), software: software.clone() };
        let is_split = route.destinations.len() > 1;
        let now_ms = self.now_ms();
        let report_time = self.recent_streams.borrow_mut().record(now_ms, stream, writer, is_split);
        self.streams_begun.notify_one();
        if report_time == ReportTime::Soon {
            return;
        }
        if tokio::time::timeout(MAX_TELL_WAIT, self.wait_until_told(stream)).await.is_err() {
            metrics::counter!("fescuebay_streams_begun_untold_total").increment(1);
        }
    }

    fn next_report_time(&self) -> Option<ReportTime> {
        self.recent_streams.borrow().next_report_time()
    }

    /// Waits until the leader has to be told of streams, and collects further ones meanwhile.
    async fn wait_until_report_is_due(&self) {
        let mut relaxed_until = None;
        loop {
            match self.next_report_time() {
                None => self.streams_begun.notified().await,
                Some(ReportTime::BeforeFirstEvent) => {
                    return tokio::time::sleep(self.report_pauses.get().urgent).await;
                }
                Some(ReportTime::Soon) => {
                    let until = *relaxed_until.get_or_insert_with(|| {
                        tokio::time::Instant::now() + self.report_pauses.get().relaxed
                    });
                    let begun = self.streams_begun.notified();
                    if tokio::time::timeout_at(until, begun).await.is_err() {
                        return;
                    }
                }
            }
        }
    }

    async fn wait_until_told(&self, stream: StreamKey) {
        loop {
            let told = self.streams_told.notified();
            tokio::pin!(told);
            told.as_mut().enable();
            if self.recent_streams.borrow().can_begin(stream) {
                return;
            }
            told.await;
        }
    }

    /// Applies which services have several software versions.
    pub(super) fn set_mixed_services(&self, cursor: FeedCursor, services: &[ServiceName]) {
        log::info!(services:? = services; "services with several software versions");
        self.recent_streams.borrow_mut().set_mixed(cursor, services.to_vec());
        self.streams_begun.notify_one();
    }

    /// The more routers there are, the longer each of them collects streams.
    pub(super) fn set_report_pauses(&self, routers: u32) {
        self.report_pauses.set(ReportPauses::of(u64::from(routers)));
    }
}

/// How long a router collects streams before it tells the leader of them.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReportPauses {
    /// If their first events wait for it.
    urgent: Duration,
    /// If nothing waits for it.
    relaxed: Duration,
}

impl ReportPauses {
    /// The pauses of each of this many routers.
    pub(super) fn of(routers: u64) -> Self {
        let urgent_ms = (routers / ROUTERS_PER_MS).clamp(MIN_REPORT_PAUSE_MS, MAX_REPORT_PAUSE_MS);
        let relaxed_ms = (routers * RELAXED_PAUSE_PER_ROUTER_MS)
            .clamp(MIN_REPORT_PAUSE_MS, MAX_RELAXED_PAUSE_MS);
        Self {
            urgent: Duration::from_millis(urgent_ms),
            relaxed: Duration::from_millis(relaxed_ms),
        }
    }
}
