//! One daemon process of a soak run.

use std::fs::{self, File};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use eyre::{Result, bail, eyre};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// Names of a daemon's listeners, in the order of [`DaemonProcess::addresses`].
const LISTENERS: [&str; 4] = ["callers", "upstreams", "operators", "peers"];

/// Timeout for a started daemon to listen.
const START_LIMIT: Duration = Duration::from_secs(20);

static NEXT_HOST: AtomicU8 = AtomicU8::new(1);

/// A daemon process, and the settings to restart it with the same addresses and data.
#[derive(Debug)]
pub struct DaemonProcess {
    /// The host id.
    pub host: String,
    /// The addresses for callers, upstreams, operators and peers. They stay the same over restarts.
    pub addresses: [SocketAddr; 4],
    program: PathBuf,
    folder: PathBuf,
    flags: Vec<String>,
    child: Option<Child>,
    starts: u32,
    /// Whether the daemon was signalled or killed since its last start, so that its end is no
    /// failure.
    end_expected: bool,
}

impl DaemonProcess {
    /// Starts a daemon. `flags` contains all flags except those for its host id, listeners and data
    /// folder.
    ///
    /// # Errors
    /// If it does not listen in time.
    pub fn start(host: &str, program: &Path, folder: &Path, flags: Vec<String>) -> Result<Self> {
        let any = SocketAddr::new(unique_address(), 0);
        let mut process = Self {
            host: host.to_owned(),
            addresses: [any; 4],
            program: program.to_owned(),
            folder: folder.to_owned(),
            flags,
            child: None,
            starts: 0,
            end_expected: false,
        };
        process.launch()?;
        Ok(process)
    }

    /// Starts the daemon again on the same addresses, if it has ended.
    ///
    /// # Errors
    /// If it does not listen in time.
    pub fn restart(&mut self) -> Result<()> {
        if self.is_running() { Ok(()) } else { self.launch() }
    }

    /// Sets a flag for later starts.
    pub fn set_flag(&mut self, name: &str, value: &str) {
        match self.flags.iter().position(|flag| flag == name) {
            Some(at) => self.flags[at + 1] = value.to_owned(),
            None => self.flags.extend([name.to_owned(), value.to_owned()]),
        }
    }

    /// Whether the process exists, even if it is paused.
    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Returns the id of the process, if it was started.
    pub fn process_id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Sends a signal, if the process runs.
    pub fn signal(&mut self, signal: Signal) {
        if !self.is_running() {
            return;
        }
        let id = self.child.as_ref().and_then(|child| i32::try_from(child.id()).ok());
        if let Some(id) = id {
            let _ = kill(Pid::from_raw(id), signal);
        }
    }

    /// Signals the daemon to shut down. Returns whether it had already been signalled to do so.
    pub fn stop(&mut self) -> bool {
        let was_told = std::mem::replace(&mut self.end_expected, true);
        self.signal(Signal::SIGTERM);
        was_told
    }

    /// Whether the daemon has ended without having been signalled or killed.
    pub fn has_failed(&mut self) -> bool {
        !self.end_expected && !self.is_running()
    }

    /// Returns the logs of all its starts.
    #[must_use]
    pub fn log(&self) -> String {
        let path = |start| self.folder.join(format!("{}-{start}.log", self.host));
        (1..=self.starts).filter_map(|start| fs::read_to_string(path(start)).ok()).collect()
    }

    /// Kills the daemon and waits for its end.
    pub fn kill(&mut self) {
        self.end_expected = true;
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Deletes the data folder of an ended daemon.
    pub fn wipe(&mut self) {
        if !self.is_running() {
            let _ = fs::remove_dir_all(self.folder.join(format!("{}-data", self.host)));
        }
    }

    fn launch(&mut self) -> Result<()> {
        self.starts += 1;
        let path = self.folder.join(format!("{}-{}.log", self.host, self.starts));
        let log = File::create(&path)?;
        let mut command = Command::new(&self.program);
        command.args(&self.flags).args(["--host-id", &self.host]);
        for (name, address) in LISTENERS.iter().zip(&self.addresses) {
            command.args([format!("--{name}-listen"), address.to_string()]);
        }
        if self.flags.iter().any(|flag| flag == "entry,replica") {
            command.arg("--data-folder").arg(self.folder.join(format!("{}-data", self.host)));
        }
        command.env_clear().stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log);
        self.child = Some(command.spawn()?);
        self.addresses = self.await_addresses(&path)?;
        self.end_expected = false;
        Ok(())
    }

    fn await_addresses(&mut self, log: &Path) -> Result<[SocketAddr; 4]> {
        let started = Instant::now();
        while started.elapsed() < START_LIMIT {
            let text = fs::read_to_string(log)?;
            if let Some(addresses) = read_addresses(&text) {
                return Ok(addresses);
            }
            if !self.is_running() {
                bail!("{} ended as it started: {text}", self.host);
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        Err(eyre!("{} does not listen", self.host))
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns a loopback address that no other test process and no other daemon uses, so that its
/// ports are still free when the daemon restarts.
fn unique_address() -> IpAddr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, high, low, NEXT_HOST.fetch_add(1, Ordering::Relaxed)))
}

fn read_addresses(log: &str) -> Option<[SocketAddr; 4]> {
    let line = log.lines().find(|line| line.contains("event=listening"))?;
    let mut addresses = [SocketAddr::from(([127, 0, 0, 1], 0)); 4];
    for (name, address) in LISTENERS.iter().zip(&mut addresses) {
        let key = format!("{name}=");
        let word = line.split(' ').find_map(|word| word.strip_prefix(key.as_str()))?;
        *address = word.parse().ok()?;
    }
    Some(addresses)
}
