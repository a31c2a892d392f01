//! Control messages between instances: membership, configuration, and rate shares.

use serde::{Deserialize, Serialize};
use wasabiyard_model::{Incarnation, InstanceId};

/// State of a member as its peers see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// Answers probes.
    Alive,
    /// Missed a probe; may clear itself with a higher refutation number.
    Suspect,
    /// Stops gracefully and takes no new work.
    Leaving,
    /// Did not clear a suspicion in time, or the platform says that it is gone.
    Dead,
}

/// What one member knows of another, as spread by gossip. Several travel with each probe, so the names of the fields
/// are short on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberDigest {
    /// Name.
    #[serde(rename = "i")]
    pub instance: InstanceId,
    /// Incarnation.
    #[serde(rename = "n")]
    pub incarnation: Incarnation,
    /// Raised by the member itself to refute a suspicion.
    #[serde(rename = "r")]
    pub refutation: u32,
    /// State.
    #[serde(rename = "s")]
    pub state: MemberState,
    /// Address of its peer listener, `IP:PORT`.
    #[serde(rename = "a")]
    pub address: String,
    /// Failure domain.
    #[serde(rename = "d")]
    pub failure_domain: String,
}

/// What a member knows, as it travels with each probe and its answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// Versions known to the sender: manifest, out-of-service.
    #[serde(rename = "v")]
    pub versions: [u64; 2],
    /// Milliseconds since any relay confirmed with the platform that these versions are the newest; `None` when the
    /// sender knows of no such confirmation.
    #[serde(rename = "c")]
    pub confirmed_millis_ago: Option<u64>,
    /// Digest of the sender's table of members that are not dead.
    #[serde(rename = "t")]
    pub table: u64,
    /// The sender itself, and then changes of other members.
    #[serde(rename = "m")]
    pub members: Vec<MemberDigest>,
}

/// Content address of one section of the manifest: SHA-256.
pub type SectionDigest = [u8; 32];

/// A section as listed in a version of the manifest.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SectionEntry {
    /// Heading, such as `route pay`.
    pub heading: String,
    /// Content address.
    pub digest: SectionDigest,
}

/// The change from one version of the manifest to a later one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ManifestDelta {
    /// Version that the delta starts from; 0 for a full copy.
    pub from: u64,
    /// Version that results.
    pub to: u64,
    /// Sections that are new or changed, with their text.
    pub changed: Vec<(SectionEntry, String)>,
    /// Headings that are gone.
    pub removed: Vec<String>,
    /// Digest over all section digests of the result, so that a receiver can check it.
    pub result: SectionDigest,
}

/// Units of a rate share on their way from a giver to a receiver.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareTransfer {
    /// Giver.
    pub giver: InstanceId,
    /// Incarnation of the giver.
    pub incarnation: Incarnation,
    /// Incarnation of the receiver. A later process of the same name must not accept the units: the earlier one may
    /// have accepted them and passed them on before it ended.
    pub receiver: Incarnation,
    /// Number of the transfer, counted by the giver for each receiver.
    pub number: u64,
    /// Bucket of organisations.
    pub bucket: u16,
    /// Reissue round of the bucket that the giver knows.
    pub round: u64,
    /// Name of the organisation.
    pub organisation: String,
    /// Units that move.
    pub units: u32,
    /// Tokens that move with them, in thousandths.
    pub milli_tokens: u64,
}

/// Holdings of one instance in one bucket, reported for a reissue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareReport {
    /// Bucket.
    pub bucket: u16,
    /// Round.
    pub round: u64,
    /// Reporting instance.
    pub instance: InstanceId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Units held, by name of organisation.
    pub units: Vec<(String, u32)>,
}

/// A control message.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ControlMessage {
    /// Another control message with the hybrid logical clock of its sender, for the order of events.
    Stamped(u64, Box<ControlMessage>),
    /// Asks for a [`ControlMessage::ProbeAck`].
    Probe {
        /// Number of the probe at the sender.
        number: u64,
        /// What the sender knows.
        gossip: Gossip,
    },
    /// Answers a probe.
    ProbeAck {
        /// Number of the probe.
        number: u64,
        /// What the sender knows.
        gossip: Gossip,
    },
    /// Asks for all members that are not dead, because the tables differ.
    PullMembers,
    /// A part of the answer to [`ControlMessage::PullMembers`].
    Members(Vec<MemberDigest>),
    /// Asks the receiver to probe another member and to pass the answer on.
    IndirectProbe {
        /// Number of the probe at the asker.
        number: u64,
        /// The member to probe.
        target: InstanceId,
    },
    /// The target of an indirect probe answered.
    IndirectAck {
        /// Number of the probe at the asker.
        number: u64,
        /// The member that answered.
        target: InstanceId,
    },
    /// A new version of the manifest, as a change.
    PushDelta(ManifestDelta),
    /// Asks for the group of a database that the sender became the home of while the platform is down.
    PullGroup {
        /// Name of the database.
        database: String,
    },
    /// The group of a database as the sender last read it.
    Group {
        /// Name of the database.
        database: String,
        /// The object of the platform, as JSON.
        object: String,
    },
    /// Asks for the key of session tokens, by an instance that started while the platform is down.
    PullSessionKey,
    /// The key of session tokens. It protects the consistency of reads, not access to data, and it travels only on links
    /// whose ends have proved the fleet secret.
    SessionKey(#[serde(with = "serde_bytes")] Vec<u8>),
    /// Asks for the change from the version that the sender has.
    PullDelta {
        /// Version that the sender has, 0 for none.
        have: u64,
    },
    /// The instances and failure domains that are out of service.
    OutOfService {
        /// Version of the document.
        version: u64,
        /// Failure domains.
        failure_domains: Vec<String>,
        /// Instances.
        instances: Vec<InstanceId>,
    },
    /// Asks for the out-of-service document when the receiver's is newer.
    PullOutOfService {
        /// Version that the sender has.
        have: u64,
    },
    /// Asks a peer for units of an organisation.
    ShareAsk {
        /// Incarnation of the asker.
        incarnation: Incarnation,
        /// Number of the ask at the asker.
        number: u64,
        /// Name of the organisation.
        organisation: String,
        /// Units that would cover the demand.
        units: u32,
        /// Tokens that would cover the demand at once, in thousandths.
        milli_tokens: u64,
        /// Round of the bucket at the asker; `None` when it is not registered and may only borrow tokens.
        round: Option<u64>,
    },
    /// Moves units.
    ShareTransfer(ShareTransfer),
    /// The receiver added the units, once.
    ShareAck {
        /// Giver.
        giver: InstanceId,
        /// Incarnation of the giver.
        incarnation: Incarnation,
        /// Number of the transfer.
        number: u64,
    },
    /// The receiver refused the units (older round, or not registered); the giver takes them back.
    ShareReturn {
        /// Giver.
        giver: InstanceId,
        /// Incarnation of the giver.
        incarnation: Incarnation,
        /// Number of the transfer.
        number: u64,
    },
    /// Lends tokens, already subtracted at the giver. The receiver takes one loan for each ask.
    TokenLoan {
        /// Giver.
        giver: InstanceId,
        /// Incarnation of the giver.
        incarnation: Incarnation,
        /// Incarnation of the borrower: a later process of the same name counts its asks from the start again.
        borrower: Incarnation,
        /// Number of the ask that the loan answers. The tokens expire a fixed time after the ask was sent, so the
        /// giver knows without an answer when they can no longer be spent.
        ask: u64,
        /// Name of the organisation.
        organisation: String,
        /// Tokens, in thousandths.
        milli_tokens: u64,
    },
    /// A steward starts a reissue: the receiver stops transfers of the bucket and reports.
    RoundFreeze {
        /// Bucket.
        bucket: u16,
        /// The new round.
        round: u64,
    },
    /// Answers a freeze.
    RoundReport(ShareReport),
    /// The round is closed; transfers go on.
    RoundDone {
        /// Bucket.
        bucket: u16,
        /// Round.
        round: u64,
    },
}
