//! Tasks that call the platform and report the results to the control loop.

use crate::control::platform_update::{Document, PlatformUpdate};
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

/// Longest duration of one watch call of a relay. Each end of a watch confirms the configuration, so this bounds the
/// age of a confirmation; 5 relays with 2 watches make 10 calls per second.
const WATCH_TIMEOUT: Duration = Duration::from_secs(1);
/// Period in which a relay reads the platform's list of instances.
const INSTANCE_LIST_PERIOD: Duration = Duration::from_secs(5);
/// Period in which an instance that is not a relay checks whether it has become one.
const RELAY_POLL_PERIOD: Duration = Duration::from_millis(200);
/// Length of a new session token key, and the shortest length that is accepted.
pub const SESSION_KEY_BYTES: usize = 32;

/// Calls the platform for the control loop.
#[derive(Debug)]
pub struct PlatformReader<P> {
    pub platform: Arc<P>,
    pub updates: async_channel::Sender<PlatformUpdate>,
    pub timeout: Duration,
    /// Whether this instance is a relay, which watches the platform on behalf of its failure domain. The control loop
    /// sets it with each tick.
    pub relay: Cell<bool>,
    pub rng: RefCell<Pcg64Mcg>,
}

impl<P> PlatformReader<P>
where
    P: Platform,
{
    /// Reads a document once at startup, and watches it while this instance is a relay.
    pub async fn watch_document(self: Rc<Self>, document: Document) {
        let mut backoff = Backoff::default();
        let mut never_read = true;
        loop {
            if !never_read && !self.relay.get() {
                Timer::after(RELAY_POLL_PERIOD).await;
                continue;
            }
            match self.list_and_watch(document, &mut backoff, &mut never_read).await {
                Ok(()) => {}
                Err(e) => self.back_off(&mut backoff, document.key(), &e).await,
            }
        }
    }

    /// Reads the list of instances once at startup, and periodically while this instance is a relay.
    pub async fn poll_instances(self: Rc<Self>) {
        let mut backoff = Backoff::default();
        let mut never_read = true;
        loop {
            if !never_read && !self.relay.get() {
                Timer::after(RELAY_POLL_PERIOD).await;
                continue;
            }
            match self.call(self.platform.instances()).await {
                Ok(listed) => {
                    never_read = false;
                    backoff.reset();
                    self.report(PlatformUpdate::Listed(listed)).await;
                    Timer::after(INSTANCE_LIST_PERIOD).await;
                }
                Err(e) => self.back_off(&mut backoff, "the list of instances", &e).await,
            }
        }
    }

    /// Reads the session token key, and creates it if there is none. Retries until it has a key.
    pub async fn load_session_key(self: Rc<Self>) {
        let mut backoff = Backoff::default();
        loop {
            match self.read_or_create_session_key().await {
                Ok(Some(key)) => return self.report(PlatformUpdate::SessionKey(key)).await,
                Ok(None) => {}
                Err(e) => self.back_off(&mut backoff, keys::SESSION_KEY, &e).await,
            }
        }
    }

    /// Reads the sections of a manifest version, except those whose text is in `cached_texts`.
    pub async fn read_sections(
        self: Rc<Self>,
        version: u64,
        entries: Vec<SectionEntry>,
        cached_texts: HashMap<SectionDigest, Arc<str>>,
    ) {
        let mut sections = Vec::with_capacity(entries.len());
        for entry in entries {
            let text = match cached_texts.get(&entry.digest) {
                Some(text) => Some(Arc::clone(text)),
                None => self.read_section(&entry).await,
            };
            let Some(text) = text else {
                return self.report(PlatformUpdate::Sections(version, None)).await;
            };
            sections.push((entry, text));
        }
        self.report(PlatformUpdate::Sections(version, Some(sections)))
            .await;
    }

    /// Reads the replication group of a database.
    pub async fn read_group(self: Rc<Self>, database: String) {
        let key = format!("{}{database}", keys::GROUP_PREFIX);
        let object = match self.call(self.platform.get(&key)).await {
            Ok(object) => object,
            Err(e) => {
                log::debug!("cannot read {key}: {e}");
                None
            }
        };
        let group = object.and_then(|o| {
            let read = serde_json::from_value::<ReplicationGroup>(o.value);
            read.inspect_err(|e| log::error!("{key} is malformed: {e}")).ok()
        });
        self.report(PlatformUpdate::Group(database, group)).await;
    }

    async fn list_and_watch(
        &self,
        document: Document,
        backoff: &mut Backoff,
        never_read: &mut bool,
    ) -> Result<(), PlatformError> {
        let Changes {
            mut revision,
            objects,
        } = self.call(self.platform.list(document.key())).await?;
        self.report_objects(document, objects).await;
        *never_read = false;
        while self.relay.get() {
            let watch = self.platform.watch(document.key(), revision, WATCH_TIMEOUT);
            let changes = self
                .call_with_timeout(watch, WATCH_TIMEOUT + self.timeout)
                .await?;
            revision = changes.revision.max(revision);
            self.report_objects(document, changes.objects).await;
            backoff.reset();
        }
        Ok(())
    }

    async fn report_objects(&self, document: Document, objects: Vec<wasabiyard_platform::Object>) {
        for object in objects
            .into_iter()
            .filter(|o| o.key == document.key() && !o.value.is_null())
        {
            if let Some(update) = document.parse(object) {
                self.report(update).await;
            }
        }
        self.report(PlatformUpdate::Confirmed(document)).await;
    }

    async fn read_section(&self, entry: &SectionEntry) -> Option<Arc<str>> {
        let key = format!("{}{}", keys::MANIFEST_SECTION_PREFIX, hex::encode(entry.digest));
        match self.call(self.platform.get(&key)).await {
            Ok(Some(object)) => object.value.as_str().map(Arc::from),
            Ok(None) => {
                log::error!("{key} of section [{}] does not exist", entry.heading);
                None
            }
            Err(e) => {
                log::warn!("cannot read {key}: {e}");
                None
            }
        }
    }

    async fn read_or_create_session_key(&self) -> Result<Option<Vec<u8>>, PlatformError> {
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
        // The key protects session tokens against forgery, so it needs a cryptographically secure generator.
        let key: [u8; SESSION_KEY_BYTES] = rand::rng().random();
        let value = serde_json::Value::from(hex::encode(key));
        match self
            .call(self.platform.put(keys::SESSION_KEY, Precondition::Absent, &value))
            .await
        {
            Ok(_) => Ok(Some(key.to_vec())),
            // Another instance has created the key first, or the answer to an earlier write was lost. The caller reads
            // the key again.
            Err(PlatformError::Conflict { .. }) => Ok(None),
            Err(e) => Err(e),
        }
    }

    async fn call<T, F>(&self, call: F) -> Result<T, PlatformError>
    where
        F: Future<Output = Result<T, PlatformError>>,
    {
        self.call_with_timeout(call, self.timeout).await
    }

    async fn call_with_timeout<T, F>(&self, call: F, timeout: Duration) -> Result<T, PlatformError>
    where
        F: Future<Output = Result<T, PlatformError>>,
    {
        future::or(call, async {
            Timer::after(timeout).await;
            Err(PlatformError::Unknown)
        })
        .await
    }

    async fn back_off(&self, backoff: &mut Backoff, subject: &str, e: &PlatformError) {
        log::warn!("platform call for {subject} failed: {e}");
        let wait = backoff.next_delay(&mut *self.rng.borrow_mut());
        Timer::after(wait).await;
    }

    async fn report(&self, update: PlatformUpdate) {
        // The receiver is dropped only when the control thread ends, which ends this task too.
        drop(self.updates.send(update).await);
    }
}
