//! What routers and voters tell each other of streams.

use super::StreamKey;
use crate::ids::{ServiceName, SoftwareVersion};

/// Who wrote the first events of a stream.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Writer {
    /// The service of the target.
    pub service: ServiceName,
    /// The version of its software.
    pub software: SoftwareVersion,
}

/// Streams that one writer began.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct BegunStreams {
    /// The writer.
    pub writer: Writer,
    /// The streams.
    pub streams: Vec<StreamKey>,
}

/// Adds a stream to a list that is grouped by writers.
pub fn add_stream(begun: &mut Vec<BegunStreams>, stream: StreamKey, writer: Writer) {
    match begun.iter_mut().find(|begun| begun.writer == writer) {
        Some(begun) => begun.streams.push(stream),
        None => begun.push(BegunStreams { writer, streams: vec![stream] }),
    }
}

/// Asks who began a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct OriginQuery {
    /// The stream, if its caller named how it began.
    pub stream: Option<StreamKey>,
    /// The services that its route allows.
    pub services: Vec<ServiceName>,
}

/// Who began a stream, as the leader knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Origin {
    /// This writer.
    Known(Writer),
    /// Nobody told, and more than one writer can have begun it.
    Unknown,
}
