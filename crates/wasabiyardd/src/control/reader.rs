//! Calls to the platform, as tasks that report findings.

use crate::control::finding::{Document, Finding};
use async_io::Timer;
use futures_lite::future;
use rand::Rng as _;
use rand_pcg::Pcg64Mcg;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_platform::{Changes, Platform, PlatformError, Precondition, ReplicationGroup, keys};
use wasabiyard_schedule::Backoff;
use wasabiyard_wire::{SectionDigest, SectionEntry};

/// A relay's watch ends and starts again after this time. Each end confirms the configuration, so this bounds the age
/// of a confirmation; 5 relays with 2 watches make 10 calls a second.
const WATCH: Duration = Duration::from_secs(1);
/// Period in which a relay reads the list of instances.
const LIST_PERIOD: Duration = Duration::from_secs(5);
/// Period in which an instance that is no relay looks whether it became one.
const IDLE: Duration = Duration::from_millis(200);
/// Shortest key of session tokens.
pub const SESSION_KEY_BYTES: usize = 32;

/// Calls the platform for the control thread.
#[derive(Debug)]
pub struct Reader<P> {
    pub platform: Arc<P>,
    pub findings: async_channel::Sender<Finding>,
    pub timeout: Duration,
    /// Whether this instance is a relay at present.
    pub relay: Cell<bool>,
    pub rng: RefCell<Pcg64Mcg>,
}

impl<P> Reader<P>
where
    P: Platform,
{
    /// Reads a document at the start, and watches it while this instance is a relay.
    pub async fn watch_document(self: Rc<Self>, document: Document) {
        let mut backoff = Backoff::default();
        let mut first = true;
        loop {
            if !first && !self.relay.get() {
                Timer::after(IDLE).await;
                continue;
            }
            match self.follow(document, &mut backoff, &mut first).await {
                Ok(()) => {}
                Err(e) => self.pause(&mut backoff, document.key(), &e).await,
            }
        }
    }

    /// Reads the list of instances at the start, and again while this instance is a relay.
    pub async fn watch_list(self: Rc<Self>) {
        let mut backoff = Backoff::default();
        let mut first = true;
        loop {
            if !first && !self.relay.get() {
                Timer::after(IDLE).await;
                continue;
            }
            match self.call(self.platform.instances()).await {
                Ok(listed) => {
                    first = false;
                    backoff.reset();
                    self.report(Finding::Listed(listed)).await;
                    Timer::after(LIST_PERIOD).await;
                }
                Err(e) => self.pause(&mut backoff, "the list of instances", &e).await,
            }
        }
    }

    /// Reads the key of session tokens, and creates it when there is none.
    pub async fn session_key(self: Rc<Self>) {
        let mut backoff = Backoff::default();
        loop {
            match self.read_session_key().await {
                Ok(Some(key)) => return self.report(Finding::SessionKey(key)).await,
                Ok(None) => {}
                Err(e) => self.pause(&mut backoff, keys::SESSION_KEY, &e).await,
            }
        }
    }

    /// Reads the sections of a version of the manifest. `held` are texts that need not be read again.
    pub async fn sections(
        self: Rc<Self>,
        version: u64,
        entries: Vec<SectionEntry>,
        held: HashMap<SectionDigest, Arc<str>>,
    ) {
        let mut sections = Vec::with_capacity(entries.len());
        for entry in entries {
            let text = match held.get(&entry.digest) {
                Some(text) => Some(Arc::clone(text)),
                None => self.section(&entry).await,
            };
            let Some(text) = text else {
                return self.report(Finding::Sections(version, None)).await;
            };
            sections.push((entry, text));
        }
        self.report(Finding::Sections(version, Some(sections))).await;
    }

    /// Reads the group of a database.
    pub async fn group(self: Rc<Self>, database: String) {
        let key = format!("{}{database}", keys::GROUP_PREFIX);
        let object = match self.call(self.platform.get(&key)).await {
            Ok(object) => object,
            Err(e) => {
                log::debug!("{key} cannot be read: {e}");
                None
            }
        };
        let group = object.and_then(|o| {
            let read = serde_json::from_value::<ReplicationGroup>(o.value);
            read.inspect_err(|e| log::error!("{key} cannot be read: {e}"))
                .ok()
        });
        self.report(Finding::Group(database, group)).await;
    }

    async fn follow(
        &self,
        document: Document,
        backoff: &mut Backoff,
        first: &mut bool,
    ) -> Result<(), PlatformError> {
        let Changes {
            mut revision,
            objects,
        } = self.call(self.platform.list(document.key())).await?;
        self.document(document, objects).await;
        *first = false;
        while self.relay.get() {
            let watch = self.platform.watch(document.key(), revision, WATCH);
            let changes = self.call_within(watch, WATCH + self.timeout).await?;
            revision = changes.revision.max(revision);
            self.document(document, changes.objects).await;
            backoff.reset();
        }
        Ok(())
    }

    async fn document(&self, document: Document, objects: Vec<wasabiyard_platform::Object>) {
        for object in objects
            .into_iter()
            .filter(|o| o.key == document.key() && !o.value.is_null())
        {
            if let Some(finding) = document.read(object) {
                self.report(finding).await;
            }
        }
        self.report(Finding::Confirmed(document)).await;
    }

    async fn section(&self, entry: &SectionEntry) -> Option<Arc<str>> {
        let key = format!("{}{}", keys::MANIFEST_SECTION_PREFIX, hex::encode(entry.digest));
        match self.call(self.platform.get(&key)).await {
            Ok(Some(object)) => object.value.as_str().map(Arc::from),
            Ok(None) => {
                log::error!("{key} ([{}]) is missing", entry.heading);
                None
            }
            Err(e) => {
                log::warn!("{key} cannot be read: {e}");
                None
            }
        }
    }

    async fn read_session_key(&self) -> Result<Option<Vec<u8>>, PlatformError> {
        if let Some(object) = self.call(self.platform.get(keys::SESSION_KEY)).await? {
            let key = object.value.as_str().and_then(|text| hex::decode(text).ok());
            let key = key.filter(|k| k.len() >= SESSION_KEY_BYTES);
            return key.map(Some).ok_or_else(|| PlatformError::Unavailable {
                reason: format!(
                    "{} is not a key of {SESSION_KEY_BYTES} bytes in hexadecimal",
                    keys::SESSION_KEY
                ),
            });
        }
        // The key protects tokens against forgery, so it comes from the operating system's generator.
        let key: [u8; SESSION_KEY_BYTES] = rand::rng().random();
        let value = serde_json::Value::from(hex::encode(key));
        match self
            .call(self.platform.put(keys::SESSION_KEY, Precondition::Absent, &value))
            .await
        {
            Ok(_) => Ok(Some(key.to_vec())),
            // Another instance was faster, or the answer was lost: the key in force is read next.
            Err(PlatformError::Conflict { .. }) => Ok(None),
            Err(e) => Err(e),
        }
    }

    async fn call<T, F>(&self, call: F) -> Result<T, PlatformError>
    where
        F: Future<Output = Result<T, PlatformError>>,
    {
        self.call_within(call, self.timeout).await
    }

    async fn call_within<T, F>(&self, call: F, timeout: Duration) -> Result<T, PlatformError>
    where
        F: Future<Output = Result<T, PlatformError>>,
    {
        future::or(call, async {
            Timer::after(timeout).await;
            Err(PlatformError::Unknown)
        })
        .await
    }

    async fn pause(&self, backoff: &mut Backoff, what: &str, e: &PlatformError) {
        log::warn!("{what}: {e}");
        let wait = backoff.next_delay(&mut *self.rng.borrow_mut());
        Timer::after(wait).await;
    }

    async fn report(&self, finding: Finding) {
        // The receiver is gone only when the control thread ends, and this task with it.
        drop(self.findings.send(finding).await);
    }
}
