//! Targets of several software versions whose streams can be resumed, and callers that take up a stream
//! that broke off.

#![allow(dead_code, reason = "each test uses a part of it")]

use std::cell::Cell;
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::fleet_support::Announced;
use super::gateway_support::{END, header, read_request, status};
use super::roles_support::send;

/// Events of a whole stream.
pub const EVENTS: usize = 12;
/// Time between two events.
pub const GAP: Duration = Duration::from_millis(100);
/// Tries of a caller for one stream.
const TRIES: usize = 6;
/// Pause before a try where the answer names none.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// How long a caller waits for the next bytes of an answer.
const PATIENCE: Duration = Duration::from_secs(5);
const DEADLINE_MS: u64 = 15_000;

pub const DOCUMENT: &str = r#"{"version":5,"routes":[
 {"name":"draft","host":"h.example","pathPrefix":"/draft/","kind":"streaming","timeoutMs":15000,
  "targetLatencyMs":800,"priority":1,"service":"llm","maxAttempts":3,"resumable":true,
  "gapTargetMs":300}],
 "services":[{"name":"llm"}]}"#;
pub const PATH: &str = "/draft/x";

/// A target whose events name its software version.
pub struct StreamTarget {
    pub id: String,
    pub address: SocketAddr,
    pub software: &'static str,
    /// Breaks off streams that begin here, not those that are resumed, after this many events.
    pub breaks_after: Cell<Option<usize>>,
    /// Requests that were resumed here.
    pub resumed: Cell<usize>,
    is_up: watch::Sender<bool>,
}

impl StreamTarget {
    pub async fn start(id: &str, software: &'static str) -> Rc<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let target = Rc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr().unwrap(),
            software,
            breaks_after: Cell::default(),
            resumed: Cell::default(),
            is_up: watch::Sender::new(true),
        });
        tokio::task::spawn_local(Rc::clone(&target).run(listener));
        target
    }

    async fn run(self: Rc<Self>, listener: TcpListener) {
        let mut is_up = self.is_up.subscribe();
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let Ok((stream, _)) = accepted else { return };
                    tokio::task::spawn_local(Rc::clone(&self).serve(stream));
                }
                _ = is_up.wait_for(|is_up| !is_up) => return,
            }
        }
    }

    async fn serve(self: Rc<Self>, stream: TcpStream) {
        let mut is_up = self.is_up.subscribe();
        tokio::select! {
            () = self.answer_all(stream) => {}
            _ = is_up.wait_for(|is_up| !is_up) => {}
        }
    }

    async fn answer_all(&self, mut stream: TcpStream) {
        while let Some(head) = read_request(&mut stream).await {
            let id = header(&head, "attempt-id").unwrap_or_default();
            let last_event = header(&head, "last-event-id").and_then(|id| id.parse().ok());
            if last_event.is_some() {
                self.resumed.set(self.resumed.get() + 1);
            }
            let breaks_after = self.breaks_after.get().filter(|_| last_event.is_none());
            let events = last_event.unwrap_or(0) + 1..=EVENTS;
            if self.stream(&mut stream, &id, events, breaks_after).await.is_err() {
                return;
            }
        }
    }

    /// Writes the events of a stream, or breaks it off.
    async fn stream(
        &self,
        stream: &mut TcpStream,
        id: &str,
        events: std::ops::RangeInclusive<usize>,
        breaks_after: Option<usize>,
    ) -> std::io::Result<()> {
        let software = self.software;
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Stamp: s-{software}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await?;
        for number in events {
            if breaks_after.is_some_and(|events| number > events) {
                socket2::SockRef::from(&*stream).set_linger(Some(Duration::ZERO))?;
                return Err(std::io::ErrorKind::ConnectionReset.into());
            }
            let event = format!("id: {number}\ndata: {software}.{number}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            stream.write_all(chunk.as_bytes()).await?;
            tokio::time::sleep(GAP).await;
        }
        stream.write_all(END.as_bytes()).await
    }

    /// Ends it with all its connections.
    pub fn stop(&self) {
        self.is_up.send_replace(false);
    }

    pub fn announced(&self) -> Announced {
        self.announced_in("llm")
    }

    /// The same, as a target of this service.
    pub fn announced_in(&self, service: &'static str) -> Announced {
        Announced {
            id: self.id.clone(),
            address: self.address,
            service,
            software: self.software,
            born: 7,
            slots: 64,
            is_leaving: false,
        }
    }
}

/// Starts targets with these versions.
pub async fn start_targets(versions: &[&'static str]) -> Vec<Rc<StreamTarget>> {
    let mut targets = Vec::new();
    for (number, software) in versions.iter().enumerate() {
        targets.push(StreamTarget::start(&format!("llm-{number}"), software).await);
    }
    targets
}

/// What a caller got of one stream over all its tries.
#[derive(Clone, Debug, Default)]
pub struct Story {
    /// The numbers of the events, in the order in which they came.
    pub numbers: Vec<usize>,
    /// The versions that wrote them.
    pub versions: BTreeSet<String>,
    /// Whether the first try brought events.
    pub has_begun: bool,
    /// Whether the stream was taken up again after it had broken off.
    pub is_taken_up: bool,
    /// Whether a try that took it up brought events, or its end.
    pub has_gone_on: bool,
    pub is_whole: bool,
    /// The statuses of all tries, 0 where none came.
    pub statuses: Vec<u16>,
}

/// What came of a run, over all streams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    pub streams: usize,
    pub begun: usize,
    /// Streams with events of two versions.
    pub joined: usize,
    pub taken_up: usize,
    pub gone_on: usize,
    pub whole: usize,
    /// Streams with an event that is missing or came twice.
    pub disordered: usize,
}

impl Summary {
    pub fn of(stories: &[Story]) -> Self {
        let count = |is_meant: fn(&&Story) -> bool| stories.iter().filter(is_meant).count();
        Self {
            streams: stories.len(),
            begun: count(|story| story.has_begun),
            joined: count(|story| story.versions.len() > 1),
            taken_up: count(|story| story.is_taken_up),
            gone_on: count(|story| story.has_gone_on),
            whole: count(|story| story.is_whole),
            disordered: count(|story| !story.numbers.iter().copied().eq(1..=story.numbers.len())),
        }
    }

    /// Whether of the streams that were taken up at least half as many went on as new ones begin.
    pub fn goes_on_well(&self) -> bool {
        let begins = self.begun as f64 / self.streams.max(1) as f64;
        self.gone_on as f64 >= 0.5 * begins * self.taken_up as f64
    }
}

/// Asks for streams at all routers, each `pause` after the one before.
pub async fn take_all(callers: &[SocketAddr], streams: usize, pause: Duration) -> Vec<Story> {
    take_all_counted(callers, streams, pause, &Rc::default()).await
}

/// The same, and counts the streams that have begun.
pub async fn take_all_counted(
    callers: &[SocketAddr],
    streams: usize,
    pause: Duration,
    begun: &Rc<Cell<usize>>,
) -> Vec<Story> {
    let order = |number| callers.iter().copied().cycle().skip(number % callers.len()).take(TRIES);
    take_in_order(streams, pause, begun, order).await
}

/// Asks for streams at the routers `first`, and takes them up at the others by turns.
pub async fn take_all_from(
    first: &[SocketAddr],
    others: &[SocketAddr],
    streams: usize,
    pause: Duration,
) -> Vec<Story> {
    let order = |number: usize| {
        let begin = std::iter::once(first[number % first.len()]);
        let then = others.iter().copied().cycle().skip(number % others.len());
        begin.chain(then).take(TRIES)
    };
    take_in_order(streams, pause, &Rc::default(), order).await
}

/// Asks for streams, each at the routers that `order` names by its number.
async fn take_in_order<T: Iterator<Item = SocketAddr>>(
    streams: usize,
    pause: Duration,
    begun: &Rc<Cell<usize>>,
    order: impl Fn(usize) -> T,
) -> Vec<Story> {
    let mut open = Vec::new();
    for number in 0..streams {
        let routers = order(number).collect();
        open.push(tokio::task::spawn_local(take(routers, Rc::clone(begun))));
        tokio::time::sleep(pause).await;
    }
    let mut stories = Vec::new();
    for caller in open {
        stories.push(caller.await.unwrap());
    }
    stories
}

/// Asks for one stream, and takes it up at the next router where it breaks off.
async fn take(routers: Vec<SocketAddr>, begun: Rc<Cell<usize>>) -> Story {
    let mut story = Story::default();
    let stream = rand::random::<u64>();
    let mut began_with = None;
    for (number, to) in routers.into_iter().enumerate() {
        let attempt = format!("{stream:x}-{number}");
        let mut headers = format!("Attempt-Id: {attempt}\r\nDeadline-Ms: {DEADLINE_MS}\r\n");
        if let Some(began_with) = &began_with {
            let last = story.numbers.last().copied().unwrap_or_default();
            headers += &format!("Last-Event-Id: {last}\r\nResumes: {began_with}\r\n");
            story.is_taken_up = true;
        }
        let before = story.numbers.len();
        let (status, retry_after) = take_once(to, &headers, &mut story, &begun).await;
        story.statuses.push(status);
        let has_come = story.numbers.len() > before;
        story.has_begun |= has_come && number == 0;
        story.has_gone_on |= began_with.is_some() && (has_come || story.is_whole);
        if has_come {
            began_with.get_or_insert(attempt);
        }
        if story.is_whole {
            break;
        }
        tokio::time::sleep(retry_after.unwrap_or(RETRY_PAUSE)).await;
    }
    story
}

/// One try: its status, and when the caller is asked to return.
async fn take_once(
    to: SocketAddr,
    headers: &str,
    story: &mut Story,
    begun: &Cell<usize>,
) -> (u16, Option<Duration>) {
    let Some(mut stream) = send(to, "POST", PATH, headers, "b").await else { return (0, None) };
    let mut bytes = Vec::new();
    let mut read = 0;
    let mut buffer = [0; 4 << 10];
    while let Ok(Ok(count @ 1..)) = tokio::time::timeout(PATIENCE, stream.read(&mut buffer)).await {
        bytes.extend_from_slice(&buffer[..count]);
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
        if status(head) != 200 {
            continue;
        }
        let was_empty = story.numbers.is_empty();
        read += read_events(&body[read..], story);
        begun.set(begun.get() + usize::from(was_empty && !story.numbers.is_empty()));
        story.is_whole |=
            body.ends_with(END) || header(head, "content-length").as_deref() == Some("0");
    }
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let retry_after = header(&text, "retry-after").and_then(|text| text.parse().ok());
    (status(&text), retry_after.map(Duration::from_secs_f64))
}

/// Reads the whole events of `text`, and returns where the last of them ends.
fn read_events(text: &str, story: &mut Story) -> usize {
    let mut end = 0;
    while let Some(length) = text[end..].find("\n\n") {
        let event = &text[end..end + length];
        let data = event.lines().find_map(|line| line.strip_prefix("data: "));
        if let Some((software, number)) = data.and_then(|data| data.split_once('.')) {
            story.versions.insert(software.to_owned());
            story.numbers.push(number.parse().unwrap());
        }
        end += length + 2;
    }
    end
}
