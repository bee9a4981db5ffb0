//! Reads each section of a settings file.

use std::error::Error;
use std::fmt::Display;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::str::FromStr;

use error_stack::Report;

use super::reader::{At, Reader};
use super::tokens::{ClusterKey, Hash, Secret, Tokens};
use super::{FencingChecks, IncarnationSource, Log, LogFormat, Targets, Traffic};
use crate::config;
use crate::ids::{self, ClusterId, DaemonId, GroupId, Incarnation, TargetId, TenantId, Zone};
use crate::units::Millis;

/// The most traffic threads.
const MAX_THREADS: usize = 256;

type Read<T> = std::result::Result<T, String>;

/// The `[daemon]` section, where a line of `[peers]` may still add to it.
pub(super) struct DaemonSection {
    pub id: Option<At<DaemonId>>,
    pub availability_zone: Option<At<Zone>>,
    pub ip: Option<At<IpAddr>>,
    /// Ports for callers, targets, operators and daemons, with the line of each that is given.
    pub ports: [At<u16>; 4],
    pub incarnation: IncarnationSource,
    pub threads: usize,
    pub data_folder: Option<At<PathBuf>>,
}

/// The keys of the four ports and their default values.
pub(super) const PORTS: [(&str, u16); 4] = [
    ("traffic_port", super::TRAFFIC_PORT),
    ("target_port", super::TARGET_PORT),
    ("admin_port", super::ADMIN_PORT),
    ("peer_port", super::PEER_PORT),
];

pub(super) fn daemon(reader: &mut Reader<'_>) -> DaemonSection {
    let section = "daemon";
    DaemonSection {
        id: reader.required(section, "id", parsed),
        availability_zone: reader.optional(section, "availability_zone", parsed),
        ip: reader.optional(section, "ip", ip),
        ports: PORTS.map(|(key, default)| {
            let given = reader.optional(section, key, port);
            given.unwrap_or(At { line: reader.header(section), value: default })
        }),
        incarnation: reader.or(section, "incarnation", IncarnationSource::Clock, incarnation),
        threads: reader.or(section, "threads", super::THREADS, threads),
        data_folder: reader.optional(section, "data_folder", |text| match text {
            "" => Err("write a folder"),
            _ => Ok(PathBuf::from(text)),
        }),
    }
}

/// The `[cluster]` section.
pub(super) struct ClusterSection {
    pub id: Option<At<ClusterId>>,
    pub key: Option<At<ClusterKey>>,
    pub group: GroupId,
}

pub(super) fn cluster(reader: &mut Reader<'_>) -> ClusterSection {
    let section = "cluster";
    ClusterSection {
        id: reader.required(section, "id", parsed),
        key: reader.required(section, "key", |text| {
            ClusterKey::from_hex(text).ok_or("write 64 hexadecimal digits (32 bytes)")
        }),
        group: reader.or(section, "group", GroupId(1), parsed),
    }
}

/// One line of `[peers]`: `ID = ZONE ADDRESS [voter]`.
pub(super) struct PeerLine {
    pub id: DaemonId,
    pub availability_zone: Zone,
    pub ip: IpAddr,
    /// `None` if it is the same as this daemon's.
    pub port: Option<u16>,
    pub is_voter: bool,
}

pub(super) fn peers(reader: &mut Reader<'_>) -> Vec<At<PeerLine>> {
    let mut peers = Vec::new();
    for line in reader.lines("peers") {
        match peer(line.key, line.value) {
            Ok(value) => peers.push(At { line: line.number, value }),
            Err(what) => reader.problem(line.number, "peers", line.key, what),
        }
    }
    peers
}

fn peer(id: &str, text: &str) -> Read<PeerLine> {
    let form = "write AVAILABILITY_ZONE IP[:PORT] [voter]";
    let words: Vec<&str> = text.split_whitespace().collect();
    let (zone, address, is_voter) = match words[..] {
        [zone, address] => (zone, address, false),
        [zone, address, "voter"] => (zone, address, true),
        _ => return Err(form.to_owned()),
    };
    let (ip, port) = match address.parse::<SocketAddr>() {
        Ok(address) if address.port() == 0 => return Err("the port 0 is no port".to_owned()),
        Ok(address) => (address.ip(), Some(address.port())),
        Err(_) => (self::ip(address)?, None),
    };
    let (id, availability_zone) = (parsed(id)?, parsed(zone)?);
    Ok(PeerLine { id, availability_zone, ip, port, is_voter })
}

pub(super) fn log(reader: &mut Reader<'_>) -> Log {
    let default = Log::default();
    Log {
        level: reader.or("log", "level", default.level, |text| match text {
            "error" => Ok(log::LevelFilter::Error),
            "warn" => Ok(log::LevelFilter::Warn),
            "info" => Ok(log::LevelFilter::Info),
            "debug" => Ok(log::LevelFilter::Debug),
            "trace" => Ok(log::LevelFilter::Trace),
            _ => Err("write error, warn, info, debug or trace"),
        }),
        format: reader.or("log", "format", default.format, |text| match text {
            "people" => Ok(LogFormat::People),
            "json" => Ok(LogFormat::Json),
            _ => Err("write people or json"),
        }),
    }
}

pub(super) fn traffic(reader: &mut Reader<'_>) -> Traffic {
    let default = Traffic::default();
    Traffic {
        anonymous_tenant: reader
            .optional("traffic", "anonymous_tenant", parsed::<TenantId, _>)
            .map(|at| at.value),
        linger_ms: reader.or("traffic", "linger", default.linger_ms, parsed),
    }
}

pub(super) fn targets(reader: &mut Reader<'_>) -> Targets {
    let section = "targets";
    let default = Targets::default();
    let header = reader.header(section);
    let time = |reader: &mut Reader<'_>, key, default| {
        reader
            .optional(section, key, parsed::<Millis, _>)
            .unwrap_or(At { line: header, value: default })
    };
    let heartbeat = time(reader, "heartbeat", default.heartbeat_ms);
    let suspect = time(reader, "suspect", default.suspect_ms);
    let dead = time(reader, "dead", default.dead_ms);
    if heartbeat.value == Millis(0) {
        reader.problem(heartbeat.line, section, "heartbeat", "it must be longer than 0 ms");
    }
    if suspect.value <= heartbeat.value {
        let what = format!("it must be longer than heartbeat, {}", heartbeat.value);
        reader.problem(suspect.line, section, "suspect", what);
    }
    if dead.value <= suspect.value {
        let what = format!("it must be longer than suspect, {}", suspect.value);
        reader.problem(dead.line, section, "dead", what);
    }
    Targets {
        heartbeat_ms: heartbeat.value,
        suspect_ms: suspect.value,
        dead_ms: dead.value,
        fencing: reader.or(section, "checks_fencing", default.fencing, fencing),
        order_token: reader.optional(section, "order_token", secret).map(|at| at.value),
    }
}

fn fencing(text: &str) -> Read<FencingChecks> {
    match text {
        "announced" => return Ok(FencingChecks::Announced),
        "none" => return Ok(FencingChecks::Only(Vec::new())),
        "" => return Err("write announced, none or target ids".to_owned()),
        _ => {}
    }
    let mut targets: Vec<TargetId> = words(text).map(parsed).collect::<Read<_>>()?;
    targets.sort_unstable();
    targets.dedup();
    Ok(FencingChecks::Only(targets))
}

pub(super) fn tokens(reader: &mut Reader<'_>) -> Tokens {
    let mut tokens = Tokens::default();
    let mut seen = Vec::new();
    for (tenant, hash) in owners(reader, "tenants", &mut seen) {
        tokens.add_tenant(tenant, hash);
    }
    for (operator, hash) in owners(reader, "operators", &mut seen) {
        tokens.add_operator(operator, hash);
    }
    if let Some(At { line, value }) = reader.optional("targets", "token", Read::<&str>::Ok) {
        match hashes(value, line, &mut seen) {
            Ok(hashes) => hashes.into_iter().for_each(|hash| tokens.add_target(hash)),
            Err(what) => reader.problem(line, "targets", "token", what),
        }
    }
    tokens
}

/// The lines `NAME = HASH, HASH` of a section.
fn owners<T>(reader: &mut Reader<'_>, section: &str, seen: &mut Vec<At<Hash>>) -> Vec<(T, Hash)>
where
    T: FromStr<Err = Report<ids::Error>> + Clone,
{
    let mut owners = Vec::new();
    for line in reader.lines(section) {
        let read = hashes(line.value, line.number, seen)
            .and_then(|hashes| Ok((parsed::<T, _>(line.key)?, hashes)));
        match read {
            Ok((owner, hashes)) => {
                owners.extend(hashes.into_iter().map(|hash| (owner.clone(), hash)));
            }
            Err(what) => reader.problem(line.number, section, line.key, what),
        }
    }
    owners
}

fn hashes(text: &str, line: u32, seen: &mut Vec<At<Hash>>) -> Read<Vec<Hash>> {
    let form = "write the SHA-256 hash that `fescuebay token` prints, never the token";
    let hashes: Vec<Hash> = words(text).map(Hash::from_hex).collect::<Option<_>>().ok_or(form)?;
    if hashes.is_empty() {
        return Err(form.to_owned());
    }
    for hash in &hashes {
        if let Some(first) = seen.iter().find(|other| other.value == *hash) {
            return Err(format!("the same token stands in line {}", first.line));
        }
        seen.push(At { line, value: *hash });
    }
    Ok(hashes)
}

pub(super) fn defaults(reader: &mut Reader<'_>) -> Vec<config::Setting> {
    let mut settings = Vec::new();
    for line in reader.lines("defaults") {
        match config::Setting::read(line.key, line.value) {
            Ok(setting) if setting.key.reach() == config::Reach::Targets => {
                let what = "it is no default: add an exception for a target or zone";
                reader.problem(line.number, "defaults", line.key, what);
            }
            Ok(setting) => settings.push(setting),
            Err(what) => reader.problem(line.number, "defaults", line.key, what),
        }
    }
    settings
}

fn words(text: &str) -> impl Iterator<Item = &str> {
    text.split([',', ' ', '\t']).filter(|word| !word.is_empty())
}

/// Reads by `FromStr` and keeps only the message.
fn parsed<T, C>(text: &str) -> Read<T>
where
    T: FromStr<Err = Report<C>>,
    C: Display + Error + Send + Sync + 'static,
{
    text.parse().map_err(|report: Report<C>| report.current_context().to_string())
}

fn ip(text: &str) -> Read<IpAddr> {
    let ip: IpAddr = text
        .parse()
        .map_err(|_| format!("{text:?} is not an IP address; names are not looked up"))?;
    match ip.is_unspecified() || ip.is_multicast() {
        true => Err(format!("{ip} is not the address of one VM")),
        false => Ok(ip),
    }
}

fn port(text: &str) -> Read<u16> {
    match text.parse() {
        Ok(0) | Err(_) => Err("write a port, 1 to 65535".to_owned()),
        Ok(port) => Ok(port),
    }
}

fn threads(text: &str) -> Read<usize> {
    match text.parse() {
        Ok(threads @ 1..=MAX_THREADS) => Ok(threads),
        _ => Err(format!("write a number of threads, 1 to {MAX_THREADS}")),
    }
}

fn incarnation(text: &str) -> Read<IncarnationSource> {
    match text {
        "clock" => Ok(IncarnationSource::Clock),
        _ => match text.parse() {
            Ok(number) => Ok(IncarnationSource::Given(Incarnation(number))),
            Err(_) => Err("write clock, or a number that rises with each start".to_owned()),
        },
    }
}

fn secret(text: &str) -> Read<Secret> {
    match text.bytes().all(|c| c.is_ascii_graphic()) && !text.is_empty() {
        true => Ok(Secret::new(text.to_owned())),
        false => Err("write a token of printable ASCII without spaces".to_owned()),
    }
}
