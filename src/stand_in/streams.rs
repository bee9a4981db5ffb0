//! Streams of a stand-in: what was generated so far, kept so that it can be sent again.

use std::sync::Arc;

use tokio::sync::watch;

/// Streams that are remembered after their end.
const REMEMBERED_STREAMS: usize = 1_024;

/// What one stream has produced.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    /// The events so far.
    pub events: Arc<Vec<String>>,
    /// Whether no more will come.
    pub is_ended: bool,
}

/// One stream that is being generated or has ended.
#[derive(Clone, Debug)]
pub struct Stream {
    sender: Arc<watch::Sender<Progress>>,
}

impl Stream {
    fn new() -> Self {
        Self { sender: Arc::new(watch::Sender::new(Progress::default())) }
    }

    /// Adds an event. Returns whether anybody still wants the stream.
    pub fn push(&self, event: String) -> bool {
        let mut is_wanted = true;
        self.sender.send_modify(|progress| {
            is_wanted = !progress.is_ended;
            if is_wanted {
                Arc::make_mut(&mut progress.events).push(event);
            }
        });
        is_wanted
    }

    /// Ends the stream.
    pub fn end(&self) {
        self.sender.send_modify(|progress| progress.is_ended = true);
    }

    /// Follows the stream from its beginning.
    pub fn follow(&self) -> watch::Receiver<Progress> {
        self.sender.subscribe()
    }
}

/// The streams of one stand-in by request id, oldest first.
#[derive(Debug, Default)]
pub struct Streams {
    streams: Vec<(String, Stream)>,
}

impl Streams {
    /// Starts a stream. An older one of the same request is ended.
    pub fn start(&mut self, request: &str) -> Stream {
        self.cancel(request);
        if self.streams.len() >= REMEMBERED_STREAMS {
            self.streams.remove(0);
        }
        let stream = Stream::new();
        self.streams.push((request.to_owned(), stream.clone()));
        stream
    }

    /// The stream of a request.
    pub fn find(&self, request: &str) -> Option<Stream> {
        let known = self.streams.iter().find(|(id, _)| id == request);
        known.map(|(_, stream)| stream.clone())
    }

    /// Ends and forgets the stream of a request. Returns whether it was known.
    pub fn cancel(&mut self, request: &str) -> bool {
        let place = self.streams.iter().position(|(id, _)| id == request);
        let Some(at) = place else { return false };
        let (_, stream) = self.streams.remove(at);
        stream.end();
        true
    }
}
