//! Voters and routers of the built binary on loopback, each a process with a settings file of its own.

#![allow(dead_code, reason = "each test uses a part of it")]

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::Stdio;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

use super::common;
use super::common::process::{self, PATIENCE, Process};
use super::common::proxy::Proxy;
use super::gateway_support::status;

const CALLERS: u16 = 8080;
const READINESS: u16 = 8081;
const CONTROL: u16 = 8090;
const PEERS: u16 = 7100;
/// Where a VM listens whose paths from other daemons lead through a proxy.
const PEERS_BEHIND_PROXY: u16 = 7200;

/// One VM: its settings, its process, and what it logged.
pub struct Vm {
    pub ip: IpAddr,
    pub settings: PathBuf,
    role: &'static str,
    data: Option<PathBuf>,
    log: PathBuf,
    process: Option<Process>,
}

/// The VMs of one test, at addresses that no other test uses.
pub struct Net {
    folder: PathBuf,
    net: [u8; 2],
    voters: usize,
    is_proxied: bool,
}

/// Where operators read and change the document.
const CONFIG: &str = "/api/config";

impl Net {
    /// Room for this many voters, and for routers.
    pub fn new(name: &str, voters: usize) -> Self {
        let net = process::free_net(CONTROL);
        Self { folder: common::folder(name), net, voters, is_proxied: false }
    }

    /// The same, where a proxy stands before each voter on the paths from other daemons.
    pub fn with_proxies(name: &str, voters: usize) -> Self {
        Self { is_proxied: true, ..Self::new(name, voters) }
    }

    /// Starts the proxy before a voter.
    pub async fn proxy(&self, number: usize) -> Proxy {
        let at = |port| SocketAddr::new(self.ip(number), port);
        Proxy::start_at(at(PEERS), at(PEERS_BEHIND_PROXY)).await
    }

    fn ip(&self, number: usize) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.net[0], self.net[1], number as u8 + 1))
    }

    /// The text that all settings files have in common.
    fn text(&self, role: &str, ip: IpAddr, keys: &str) -> String {
        let first: Vec<String> = (0..self.voters).map(|n| self.ip(n).to_string()).collect();
        format!(
            "[vm]\nrole = {role}\nip = {ip}\navailability_zone = z\npeer_port = {PEERS}\n{keys}\
             [targets]\nheartbeat_ms = 500\ntakeover_ms = 300\n[stop]\nlimit_s = 12\n\
             [group]\ncluster = c\nfirst = {}\nmay_form = true\nmax_lost = {}\n",
            first.join(","),
            self.max_lost()
        )
    }

    /// The losses that the group bears. A single voter is told one, since no group bears none.
    fn max_lost(&self) -> usize {
        ((self.voters - 1) / 2).max(1)
    }

    fn vm(&self, role: &'static str, number: usize, text: &str, data: Option<PathBuf>) -> Vm {
        let settings = self.folder.join(format!("{number}.ini"));
        std::fs::write(&settings, text).unwrap();
        let log = self.folder.join(format!("{number}.log"));
        Vm { ip: self.ip(number), settings, role, data, log, process: None }
    }

    pub fn voter(&self, number: usize) -> Vm {
        let ip = self.ip(number);
        let data = self.folder.join(format!("data-{number}"));
        let mut keys = format!("control = {ip}:{CONTROL}\n");
        if self.is_proxied {
            keys += &format!("peer_listen_port = {PEERS_BEHIND_PROXY}\n");
        }
        let text = self.text("voter", ip, &keys) + &format!("data_folder = {}\n", data.display());
        self.vm("voter", number, &text, Some(data))
    }

    pub fn router(&self, number: usize) -> Vm {
        let ip = self.ip(number);
        let keys = format!("callers = {ip}:{CALLERS}\nreadiness = {ip}:{READINESS}\n");
        self.vm("router", number, &self.text("router", ip, &keys), None)
    }
}

impl Vm {
    pub fn start(&mut self) {
        let log = std::fs::File::options().create(true).append(true).open(&self.log).unwrap();
        let mut command = common::fescuebay();
        command.args(["serve", "--role", self.role]).env("FESCUEBAY_BOOT", &self.settings);
        command.stdin(Stdio::null()).stdout(log).stderr(Stdio::null());
        self.process = Some(Process::spawn(&mut command));
    }

    /// Starts it so that writes beyond a limit fail, as on a full disk, and do not end it.
    pub fn start_with_bounded_disk(&mut self) {
        let program = common::fescuebay().get_program().to_owned();
        let mut command = std::process::Command::new("sh");
        command.args(["-c", "trap '' XFSZ; exec \"$0\" \"$@\""]).arg(program);
        command.args(["serve", "--role", self.role]).env("FESCUEBAY_BOOT", &self.settings);
        let log = std::fs::File::options().create(true).append(true).open(&self.log).unwrap();
        command.stdin(Stdio::null()).stdout(log).stderr(Stdio::null());
        self.process = Some(Process::spawn(&mut command));
    }

    /// Lets no file of its process grow beyond this many bytes. `None`: its disk has room again.
    pub fn bound_disk(&self, bytes: Option<u64>) {
        let id = self.process_id().expect("it runs").to_string();
        let limit = bytes.map_or("unlimited".to_owned(), |bytes| bytes.to_string());
        let mut command = std::process::Command::new("prlimit");
        command.args(["--pid", &id, &format!("--fsize={limit}:unlimited")]);
        assert!(command.status().unwrap().success());
    }

    /// Sends a signal by name to its process alone.
    pub fn signal(&self, name: &str) {
        self.process.as_ref().expect("it runs").signal(name);
    }

    /// The id of its process, while it runs.
    pub fn process_id(&self) -> Option<u32> {
        self.process.as_ref().map(Process::id)
    }

    /// The exit code of its process if it has ended; `Some(None)` after a signal.
    pub fn ended(&mut self) -> Option<Option<i32>> {
        self.process.as_mut().and_then(Process::ended)
    }

    /// Takes its data folder away, as a lost disk would.
    pub fn lose_data(&self) {
        if let Some(data) = &self.data {
            std::fs::remove_dir_all(data).unwrap();
        }
    }

    /// Waits for its end and returns its exit code.
    pub async fn exit_code(&mut self) -> Option<i32> {
        self.process.take().expect("it runs").exit_code().await
    }

    /// The lines that it logged so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    pub fn callers(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CALLERS)
    }

    pub fn readiness(&self) -> SocketAddr {
        SocketAddr::new(self.ip, READINESS)
    }

    pub fn control(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CONTROL)
    }
}

/// Starts the voters that form the group, each by `start`, and waits until it has a document.
pub async fn form_group(
    net: &Net,
    count: usize,
    start: impl Fn(&mut Vm),
    document: &str,
) -> Vec<Vm> {
    let mut voters: Vec<Vm> = (0..count).map(|number| net.voter(number)).collect();
    voters.iter_mut().for_each(start);
    let first = voters[0].control();
    let taken = async || call(first, "PUT", CONFIG, document).await == 200;
    process::until("a first document", taken).await;
    voters
}

/// How often a leader has let `joined` in, by the logs of these voters.
pub fn admissions(voters: &[&Vm], joined: &Vm) -> usize {
    let new = format!("new: VoterId {{ daemon: DaemonId(\\\"{}\\\")", joined.ip);
    let is_one = |text: &&str| text.contains("the group has changed") && text.contains(&new);
    voters.iter().map(|vm| vm.log().lines().filter(is_one).count()).sum()
}

/// Sends a request over a connection of its own. `None`: it could not connect.
pub async fn send(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &str,
    body: &str,
) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(to).await.ok()?;
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: h.example\r\n{headers}Content-Length: {}\r\n\
         Connection: close\r\n\r\n{body}",
        body.len()
    );
    // A write that fails shows as an answer without a status.
    let _ = stream.write_all(text.as_bytes()).await;
    Some(stream)
}

/// All that comes back on a connection.
pub async fn read(mut stream: TcpStream) -> String {
    let mut bytes = Vec::new();
    let _ = tokio::time::timeout(PATIENCE, stream.read_to_end(&mut bytes)).await;
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Sends a request and returns the whole answer, empty if nothing came.
pub async fn ask(to: SocketAddr, method: &str, path: &str, headers: &str, body: &str) -> String {
    match send(to, method, path, headers, body).await {
        Some(stream) => read(stream).await,
        None => String::new(),
    }
}

/// The status of the answer to a call, 0 if there is none.
pub async fn call(to: SocketAddr, method: &str, path: &str, body: &str) -> u16 {
    status(&ask(to, method, path, "", body).await)
}
