//! Response bodies of which a bounded part is read ahead of the caller.
//!
//! The HTTP server asks a body for more only when the caller's connection takes more, and the body then reads from its
//! source. While the connection takes nothing, a task reads from the source instead, as far as the account of held bytes
//! allows, so that a caller that pauses for some seconds does not make the target end the answer.

use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures::Stream;
use http_body::{Frame, SizeHint};
use tokio::sync::Notify;
use tokio::task::JoinHandle;

use super::held::{HeldBytes, HolderId, ReadDecision};
use super::server::ConnectionEnd;
use super::{Body, Error};
use crate::clock::BootClock;

/// Size of the parts in which the connection gets a body: one that was written to the socket is progress.
const FRAME_BYTES: usize = 8 << 10;
/// How often it is looked whether a connection takes what it was given, and what other callers have read.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The account of held bytes, shared by all responses of a process.
#[derive(Clone)]
pub struct Account(Rc<RefCell<Responses>>);

struct Responses {
    clock: BootClock,
    held: HeldBytes,
    /// Sorted by id.
    open: Vec<OpenResponse>,
}

struct OpenResponse {
    id: HolderId,
    taken: Arc<TakenBytes>,
    caller: Caller,
}

/// Bytes that the connection has taken since they were last looked at.
#[derive(Debug, Default)]
struct TakenBytes {
    bytes: AtomicUsize,
    changed: Notify,
}

/// The caller of a response.
#[derive(Clone, Debug)]
pub struct Caller {
    /// The id of the request, for log lines.
    pub request: String,
    /// Ends the connection.
    pub connection: Option<ConnectionEnd>,
    /// From when on no more is held back from a source: it ends the answer then.
    pub deadline_ms: u64,
    /// Time without progress after which the caller is ended.
    pub max_stall_ms: u64,
}

impl Account {
    /// An empty account with this limit.
    pub fn new(clock: BootClock, limit_bytes: usize) -> Self {
        let held = HeldBytes::new(limit_bytes);
        Self(Rc::new(RefCell::new(Responses { clock, held, open: Vec::new() })))
    }

    /// Bytes that are held now.
    pub fn held_bytes(&self) -> usize {
        self.0.borrow_mut().apply_taken();
        self.0.borrow().held.held_bytes()
    }

    /// Bytes that may be held.
    pub fn limit_bytes(&self) -> usize {
        self.0.borrow().held.limit_bytes()
    }

    /// Whether the process holds as much as it may.
    pub fn is_full(&self) -> bool {
        self.held_bytes() >= self.limit_bytes()
    }

    /// A body that begins with `first` and is read ahead from `source`.
    pub fn stream(
        &self,
        caller: Caller,
        first: &Bytes,
        source: impl Stream<Item = Result<Bytes, Error>> + 'static,
    ) -> Body {
        let response = Response::open(self, caller);
        response.push(first);
        response.source.replace(Some(Box::pin(source)));
        let task = tokio::task::spawn_local(read_while_blocked(Rc::clone(&response)));
        Box::pin(HeldBody { task, response })
    }

    /// A body of these bytes.
    pub fn whole(&self, caller: Caller, bytes: &Bytes) -> Body {
        let response = Response::open(self, caller);
        response.push(bytes);
        response.end(None);
        let draining = wait_until_taken(Rc::clone(&response));
        Box::pin(HeldBody { task: tokio::task::spawn_local(draining), response })
    }
}

impl Responses {
    /// Counts what connections have taken of all responses.
    fn apply_taken(&mut self) {
        let now_ms = self.clock.now_ms();
        for response in &self.open {
            let bytes = response.taken.bytes.swap(0, Ordering::Relaxed);
            if bytes > 0 {
                self.held.release(now_ms, response.id, bytes);
            }
        }
    }

    /// Decides whether more of a response is to be read. What others have taken matters only if there is no room.
    fn decide(&mut self, id: HolderId, taken: &TakenBytes) -> ReadDecision {
        let now_ms = self.clock.now_ms();
        let bytes = taken.bytes.swap(0, Ordering::Relaxed);
        if bytes > 0 {
            self.held.release(now_ms, id, bytes);
        }
        if self.held.held_bytes() >= self.held.limit_bytes() {
            self.apply_taken();
        }
        self.held.decide(now_ms, id)
    }

    /// Ends the connection of a caller.
    fn end(&mut self, id: HolderId, reason: &'static str) {
        let stalled_ms = self.held.stalled_ms(self.clock.now_ms(), id);
        let (bytes, held_bytes) = (self.held.bytes_of(id), self.held.held_bytes());
        let limit_bytes = self.held.limit_bytes();
        let Ok(at) = self.open.binary_search_by_key(&id, |response| response.id) else { return };
        let caller = &self.open[at].caller;
        log::info!(
            request:% = caller.request, stalled_ms = stalled_ms, bytes = bytes,
            held_bytes = held_bytes, limit_bytes = limit_bytes;
            "a caller that has read nothing for {stalled_ms} ms is ended: {reason}"
        );
        metrics::counter!("fescuebay_slow_callers_ended_total", "reason" => reason).increment(1);
        if let Some(connection) = &caller.connection {
            connection.end();
        }
    }
}

/// Where the bytes of a body come from.
type Source = Pin<Box<dyn Stream<Item = Result<Bytes, Error>>>>;

/// A response whose body is read ahead.
struct Response {
    account: Account,
    id: HolderId,
    taken: Arc<TakenBytes>,
    deadline_ms: u64,
    max_stall_ms: u64,
    /// `None` once it has ended.
    source: RefCell<Option<Source>>,
    queue: RefCell<Queue>,
    /// Whether the connection waits for data, which it then reads itself.
    is_awaited: Cell<bool>,
    /// Whether the connection has asked for data since this was last looked at.
    was_asked: Cell<bool>,
}

/// What was read and not yet asked for by the connection.
#[derive(Default)]
struct Queue {
    bytes: BytesMut,
    /// How the source ended.
    ending: Option<Option<Error>>,
    waker: Option<Waker>,
}

/// What became of a look at the source.
enum SourceStep {
    /// Data was added to the queue.
    Data,
    /// There is no more.
    Ended,
    /// The connection reads itself again.
    Awaited,
}

impl Response {
    fn open(account: &Account, caller: Caller) -> Rc<Self> {
        let taken = Arc::<TakenBytes>::default();
        let Caller { deadline_ms, max_stall_ms, .. } = caller;
        let mut responses = account.0.borrow_mut();
        let now_ms = responses.clock.now_ms();
        let id = responses.held.open(now_ms);
        responses.open.push(OpenResponse { id, taken: Arc::clone(&taken), caller });
        drop(responses);
        Rc::new(Self {
            account: account.clone(),
            id,
            taken,
            deadline_ms,
            max_stall_ms,
            source: RefCell::default(),
            queue: RefCell::default(),
            is_awaited: Cell::new(false),
            was_asked: Cell::new(false),
        })
    }

    fn push(&self, data: &Bytes) {
        let mut responses = self.account.0.borrow_mut();
        let now_ms = responses.clock.now_ms();
        responses.held.take(now_ms, self.id, data.len());
        self.queue.borrow_mut().bytes.extend_from_slice(data);
    }

    /// Notes that no more follows, or why not. The connection to the target, and what was reserved there, is free
    /// then, although the caller may not have read everything.
    fn end(&self, error: Option<Error>) {
        drop(self.source.take());
        let mut queue = self.queue.borrow_mut();
        queue.ending.get_or_insert(error);
        if let Some(waker) = queue.waker.take() {
            waker.wake();
        }
    }

    /// Reads the next data of the source into the queue.
    fn poll_source(&self, context: &mut Context<'_>) -> Poll<SourceStep> {
        let polled = match self.source.borrow_mut().as_mut() {
            Some(source) => source.as_mut().poll_next(context),
            None => return Poll::Ready(SourceStep::Ended),
        };
        match polled {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(Ok(data))) => {
                self.push(&data);
                Poll::Ready(SourceStep::Data)
            }
            Poll::Ready(ending) => {
                self.end(ending.and_then(Result::err));
                Poll::Ready(SourceStep::Ended)
            }
        }
    }

    /// Reads the next data for a connection that takes none now.
    async fn read_ahead(&self) -> SourceStep {
        std::future::poll_fn(|context| match self.is_awaited.get() {
            true => Poll::Ready(SourceStep::Awaited),
            false => self.poll_source(context),
        })
        .await
    }

    /// Waits until more is to be read; `false` if the caller is ended.
    async fn wait_for_room(&self) -> bool {
        loop {
            let decision = self.account.0.borrow_mut().decide(self.id, &self.taken);
            match decision {
                ReadDecision::Read => return true,
                // The source ends the answer now.
                ReadDecision::Wait if self.is_past_deadline() => return true,
                ReadDecision::Wait => {
                    if self.end_if_stalled() {
                        return false;
                    }
                }
                ReadDecision::End(id) => {
                    self.account.0.borrow_mut().end(id, "memory");
                    if id == self.id {
                        return false;
                    }
                }
            }
            let _ = tokio::time::timeout(CHECK_INTERVAL, self.taken.changed.notified()).await;
        }
    }

    fn is_past_deadline(&self) -> bool {
        self.account.0.borrow().clock.now_ms() >= self.deadline_ms
    }

    /// Ends the caller if it has read nothing for too long.
    fn end_if_stalled(&self) -> bool {
        let mut responses = self.account.0.borrow_mut();
        let now_ms = responses.clock.now_ms();
        let is_stalled = responses.held.stalled_ms(now_ms, self.id) >= self.max_stall_ms;
        if is_stalled {
            responses.end(self.id, "no progress");
        }
        is_stalled
    }
}

/// Reads ahead whenever the connection takes nothing, until the source has ended and everything is taken.
async fn read_while_blocked(response: Rc<Response>) {
    let _panicked = BrokenUnlessEnded(Rc::clone(&response));
    loop {
        let is_blocked = !response.is_awaited.get();
        tokio::time::sleep(CHECK_INTERVAL).await;
        // A connection that was given something before the pause, and has not come back, is blocked.
        let is_blocked = is_blocked && !response.was_asked.replace(false);
        while is_blocked && !response.is_awaited.get() {
            if response.end_if_stalled() || !response.wait_for_room().await {
                return response.end(Some(Error::Timeout));
            }
            match tokio::time::timeout(CHECK_INTERVAL, response.read_ahead()).await {
                Ok(SourceStep::Ended) => return wait_until_taken(response).await,
                Ok(SourceStep::Data) | Err(_) => {}
                Ok(SourceStep::Awaited) => break,
            }
        }
    }
}

/// Breaks the body off if its source panics.
struct BrokenUnlessEnded(Rc<Response>);

impl Drop for BrokenUnlessEnded {
    fn drop(&mut self) {
        self.0.end(Some(Error::Broken));
    }
}

/// Waits until the connection has taken everything, or ends it once that takes too long.
async fn wait_until_taken(response: Rc<Response>) {
    loop {
        let decision = response.account.0.borrow_mut().decide(response.id, &response.taken);
        if let ReadDecision::End(id) = decision {
            response.account.0.borrow_mut().end(id, "memory");
        }
        let is_taken = response.account.0.borrow().held.bytes_of(response.id) == 0;
        if is_taken || response.end_if_stalled() {
            return;
        }
        let _ = tokio::time::timeout(CHECK_INTERVAL, response.taken.changed.notified()).await;
    }
}

/// The body that the connection reads. Dropping it ends the reading.
struct HeldBody {
    task: JoinHandle<()>,
    response: Rc<Response>,
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        self.task.abort();
        drop(self.response.source.take());
        let id = self.response.id;
        let mut responses = self.response.account.0.borrow_mut();
        responses.held.close(id);
        if let Ok(at) = responses.open.binary_search_by_key(&id, |response| response.id) {
            responses.open.remove(at);
        }
    }
}

impl http_body::Body for HeldBody {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        let response = &self.response;
        response.was_asked.set(true);
        while response.queue.borrow().bytes.is_empty() {
            match response.poll_source(context) {
                Poll::Ready(SourceStep::Data) => {}
                Poll::Ready(_) => break,
                Poll::Pending => {
                    response.is_awaited.set(true);
                    response.queue.borrow_mut().waker = Some(context.waker().clone());
                    return Poll::Pending;
                }
            }
        }
        response.is_awaited.set(false);
        let mut queue = response.queue.borrow_mut();
        if !queue.bytes.is_empty() {
            let length = queue.bytes.len().min(FRAME_BYTES);
            let bytes = queue.bytes.split_to(length).freeze();
            let taken = Arc::clone(&response.taken);
            let frame = Bytes::from_owner(TakenFrame { bytes, taken });
            return Poll::Ready(Some(Ok(Frame::data(frame))));
        }
        match queue.ending.flatten() {
            Some(error) => Poll::Ready(Some(Err(error))),
            None => Poll::Ready(None),
        }
    }

    fn is_end_stream(&self) -> bool {
        let queue = self.response.queue.borrow();
        queue.bytes.is_empty() && queue.ending == Some(None)
    }

    fn size_hint(&self) -> SizeHint {
        let queue = self.response.queue.borrow();
        match queue.ending {
            Some(None) => SizeHint::with_exact(queue.bytes.len() as u64),
            _ => SizeHint::default(),
        }
    }
}

/// A part of a body. The connection drops it once it is written to the socket.
struct TakenFrame {
    bytes: Bytes,
    taken: Arc<TakenBytes>,
}

impl AsRef<[u8]> for TakenFrame {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for TakenFrame {
    fn drop(&mut self) {
        self.taken.bytes.fetch_add(self.bytes.len(), Ordering::Relaxed);
        self.taken.changed.notify_one();
    }
}
