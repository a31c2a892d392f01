//! What an instance leaves behind when its test fails: the changes of its snapshot with their times, its last snapshot and
//! its events.
//!
//! The instances of these tests are threads of the test, so there are no log files. A failure that depends on the load of
//! the machine is understood only from the order of events in several instances.

use std::fmt::Write as _;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;
use std::{fs, process};
use wasabiyard_model::InstanceId;
use wasabiyardd::clock;
use wasabiyardd::control::Recorder;
use wasabiyardd::snapshot::{Snapshot, SnapshotCell};

const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Watches one instance. Dropped during a panic, it writes a file and prints the path.
pub struct Evidence {
    id: InstanceId,
    /// Directory of the test; created with the first file.
    dir: PathBuf,
    snapshots: Arc<SnapshotCell>,
    recorder: Arc<Recorder>,
    changes: Arc<Mutex<String>>,
    stop: Arc<AtomicBool>,
    watcher: Option<JoinHandle<()>>,
}

impl Evidence {
    pub fn watch(id: InstanceId, snapshots: Arc<SnapshotCell>, recorder: Arc<Recorder>) -> Self {
        let thread = thread::current();
        let test = thread.name().unwrap_or("unnamed");
        let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{test}-{}", process::id()));
        let (changes, stop) = (Arc::<Mutex<String>>::default(), Arc::<AtomicBool>::default());
        let watcher = {
            let (snapshots, changes, stop) =
                (Arc::clone(&snapshots), Arc::clone(&changes), Arc::clone(&stop));
            thread::spawn(move || note_changes(&snapshots, &changes, &stop))
        };
        Self {
            id,
            dir,
            snapshots,
            recorder,
            changes,
            stop,
            watcher: Some(watcher),
        }
    }

    fn report(&self) -> String {
        let changes = self.changes.lock().unwrap_or_else(PoisonError::into_inner);
        let (snapshot, events) = (self.snapshots.load(), self.recorder.lines());
        format!(
            "changes, by wall clock in microseconds:\n{changes}\nlast snapshot:\n{snapshot:#?}\n\nevents:\n{events}"
        )
    }
}

impl Drop for Evidence {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        self.watcher.take().map(JoinHandle::join);
        if !thread::panicking() {
            return;
        }
        let path = self.dir.join(format!("{}.txt", self.id));
        match fs::create_dir_all(&self.dir).and_then(|()| fs::write(&path, self.report())) {
            Ok(()) => eprintln!("evidence of {}: {}", self.id, path.display()),
            Err(e) => eprintln!("cannot write {}: {e}", path.display()),
        }
    }
}

fn note_changes(snapshots: &SnapshotCell, changes: &Mutex<String>, stop: &AtomicBool) {
    let mut last = String::new();
    while !stop.load(Ordering::Relaxed) {
        let state = summary(&snapshots.load());
        if state != last {
            let mut changes = changes.lock().unwrap_or_else(PoisonError::into_inner);
            writeln!(changes, "{} {state}", clock::wall_micros()).expect("writing to a string cannot fail");
            last = state;
        }
        thread::sleep(POLL_INTERVAL);
    }
}

fn summary(snapshot: &Snapshot) -> String {
    let homes = snapshot.homes.iter();
    let mut homes: Vec<_> = homes
        .map(|(db, home)| format!("{db}@{}", home.instance))
        .collect();
    homes.sort();
    format!(
        "admission {:?}, manifest {}, session key {}, groups {:?}, homes {homes:?}",
        snapshot.admission,
        snapshot.manifest_version,
        hex::encode(&snapshot.session_key),
        snapshot.groups.keys().collect::<Vec<_>>(),
    )
}
