//! Control messages between instances: membership, configuration and rate shares.

use serde::{Deserialize, Serialize};
use wasabiyard_model::{Incarnation, InstanceId};

/// State of a member according to its peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// Answers probes.
    Alive,
    /// Did not acknowledge a probe; can refute the suspicion with a higher refutation number.
    Suspect,
    /// Is shutting down gracefully and accepts no new work.
    Leaving,
    /// Did not refute a suspicion in time, did not answer a probe while leaving, or has ended according to the
    /// platform.
    Dead,
}

/// What one member knows about another, disseminated by gossip. Each probe carries several, so the names of the fields
/// are short on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberDigest {
    /// Name of the member.
    #[serde(rename = "i")]
    pub instance: InstanceId,
    /// Incarnation of the member's process.
    #[serde(rename = "n")]
    pub incarnation: Incarnation,
    /// Incremented by the member itself to refute a suspicion.
    #[serde(rename = "r")]
    pub refutation: u32,
    /// State of the member. With equal incarnation and refutation, the state later in the order of [`MemberState`]
    /// wins.
    #[serde(rename = "s")]
    pub state: MemberState,
    /// Address of the member's peer listener, `IP:PORT`.
    #[serde(rename = "a")]
    pub address: String,
    /// Failure domain in which the member runs.
    #[serde(rename = "d")]
    pub failure_domain: String,
}

/// The sender's knowledge, piggybacked on each probe and acknowledgement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// Versions that the sender has: of the manifest and of the out-of-service document, in this order.
    #[serde(rename = "v")]
    pub versions: [u64; 2],
    /// Milliseconds since a relay last confirmed with the platform that these versions are current; `None` when the
    /// sender knows of no such confirmation.
    #[serde(rename = "c")]
    pub confirmed_millis_ago: Option<u64>,
    /// Digest of the sender's table of members that are not dead; peers with another digest exchange their tables.
    #[serde(rename = "t")]
    pub table: u64,
    /// The sender itself, followed by recent changes of other members.
    #[serde(rename = "m")]
    pub members: Vec<MemberDigest>,
}

/// SHA-256 by which one section of the manifest is addressed.
pub type SectionDigest = [u8; 32];

/// A section in the index of a version of the manifest.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SectionEntry {
    /// Heading of the section, such as `route pay`.
    pub heading: String,
    /// Digest of the section's text.
    pub digest: SectionDigest,
}

/// The difference between one version of the manifest and a later one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ManifestDelta {
    /// Base version to which the delta applies; 0 for a full copy.
    pub from: u64,
    /// Version after the delta is applied.
    pub to: u64,
    /// New and changed sections, each with its text.
    pub changed: Vec<(SectionEntry, String)>,
    /// Headings of removed sections.
    pub removed: Vec<String>,
    /// Digest over all section digests of version `to`, by which the receiver verifies the result.
    pub result: SectionDigest,
}

/// A transfer of rate share units and tokens from a giver to a receiver.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareTransfer {
    /// Instance that gives the units.
    pub giver: InstanceId,
    /// Incarnation of the giver when it made the transfer.
    pub incarnation: Incarnation,
    /// Incarnation of the receiver. A later process of the same name must not accept the units, because the earlier one
    /// may have accepted them and transferred them to others before it ended.
    pub receiver: Incarnation,
    /// Sequence number of the transfer, which the giver counts for each receiver.
    pub number: u64,
    /// Bucket (group of organisations reissued together) that contains the organisation.
    pub bucket: u16,
    /// Latest reissue round of the bucket that the giver knows; a receiver in a later round returns the units.
    pub round: u64,
    /// Name of the organisation.
    pub organisation: String,
    /// Units transferred.
    pub units: u32,
    /// Tokens transferred with the units, in thousandths.
    pub milli_tokens: u64,
}

/// The units that one instance holds in one bucket, reported for a reissue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareReport {
    /// Bucket of the reissue.
    pub bucket: u16,
    /// Round to which the report belongs.
    pub round: u64,
    /// Instance that reports its units.
    pub instance: InstanceId,
    /// Incarnation of that instance.
    pub incarnation: Incarnation,
    /// Names of organisations with the units held for each.
    pub units: Vec<(String, u32)>,
}

/// A control message between two instances.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ControlMessage {
    /// A control message with the hybrid logical clock stamp of its sender, by which events of different instances are
    /// ordered.
    Stamped(u64, Box<ControlMessage>),
    /// Health probe; acknowledged by [`ControlMessage::ProbeAck`].
    Probe {
        /// Number of the probe, assigned by the sender.
        number: u64,
        /// The sender's knowledge.
        gossip: Gossip,
    },
    /// Acknowledges a probe.
    ProbeAck {
        /// Number of the acknowledged probe.
        number: u64,
        /// The sender's knowledge.
        gossip: Gossip,
    },
    /// Requests all members that are not dead, after the digests of the tables differed.
    PullMembers,
    /// A part of the response to [`ControlMessage::PullMembers`].
    Members(Vec<MemberDigest>),
    /// Requests that the receiver probe another member and forward the acknowledgement.
    IndirectProbe {
        /// Number of the probe, assigned by the requester.
        number: u64,
        /// Member to probe.
        target: InstanceId,
    },
    /// Forwards the acknowledgement of an indirect probe.
    IndirectAck {
        /// Number of the probe, assigned by the requester.
        number: u64,
        /// Member that acknowledged the probe.
        target: InstanceId,
    },
    /// Sends a later version of the manifest as a delta.
    PushDelta(ManifestDelta),
    /// Requests the replication group of a database whose home the sender became while the platform is unavailable.
    PullGroup {
        /// Name of the database.
        database: String,
    },
    /// The replication group of a database as the sender last read it.
    Group {
        /// Name of the database.
        database: String,
        /// The group's object in the platform's store, as JSON.
        object: String,
    },
    /// Requests the session token key, for an instance that started while the platform is unavailable.
    PullSessionKey,
    /// The key that authenticates session tokens. It protects the consistency of reads, not access to data, and is sent
    /// only on links whose ends have both proved the fleet secret.
    SessionKey(#[serde(with = "serde_bytes")] Vec<u8>),
    /// Requests a delta from the version that the sender has.
    PullDelta {
        /// Manifest version that the sender has; 0 for none, or to request a full copy.
        have: u64,
    },
    /// The instances and failure domains that are out of service.
    OutOfService {
        /// Version of the out-of-service document.
        version: u64,
        /// Names of failure domains.
        failure_domains: Vec<String>,
        /// Names of instances.
        instances: Vec<InstanceId>,
    },
    /// Requests the out-of-service document if the receiver's version is newer.
    PullOutOfService {
        /// Version of the document that the sender has.
        have: u64,
    },
    /// Requests rate share units of an organisation from a peer.
    ShareAsk {
        /// Incarnation of the sender.
        incarnation: Incarnation,
        /// Number of the request, assigned by the sender.
        number: u64,
        /// Name of the organisation.
        organisation: String,
        /// Units that would cover the sender's demand.
        units: u32,
        /// Tokens that would cover the current demand immediately, in thousandths.
        milli_tokens: u64,
        /// Reissue round of the bucket at the sender; `None` when the sender is not registered and may only borrow tokens.
        round: Option<u64>,
    },
    /// Transfers units and tokens to the receiver.
    ShareTransfer(ShareTransfer),
    /// Acknowledges a transfer whose units were added, exactly once.
    ShareAck {
        /// Instance that made the transfer.
        giver: InstanceId,
        /// Incarnation of the giver.
        incarnation: Incarnation,
        /// Sequence number of the transfer.
        number: u64,
    },
    /// Rejects a transfer from an older round, or to a receiver that is draining. The giver takes the units back.
    ShareReturn {
        /// Instance that made the transfer.
        giver: InstanceId,
        /// Incarnation of the giver.
        incarnation: Incarnation,
        /// Sequence number of the transfer.
        number: u64,
    },
    /// Lends tokens, which the giver has already deducted. The borrower accepts one loan for each request.
    TokenLoan {
        /// Instance that lends the tokens.
        giver: InstanceId,
        /// Incarnation of the lender.
        incarnation: Incarnation,
        /// Incarnation of the borrower, since a later process of the same name numbers its requests from the start again.
        borrower: Incarnation,
        /// Number of the [`ControlMessage::ShareAsk`] that the loan answers. The tokens expire a fixed time after that
        /// request was sent, so the giver knows without an acknowledgement when they can no longer be spent.
        ask: u64,
        /// Name of the organisation.
        organisation: String,
        /// Tokens lent, in thousandths.
        milli_tokens: u64,
    },
    /// Starts a reissue, which the sender coordinates: the receiver suspends transfers of the bucket and sends a
    /// [`ControlMessage::RoundReport`].
    RoundFreeze {
        /// Bucket that is reissued.
        bucket: u16,
        /// Number of the new round.
        round: u64,
    },
    /// Response to [`ControlMessage::RoundFreeze`].
    RoundReport(ShareReport),
    /// Ends a reissue round, after which transfers of the bucket resume.
    RoundDone {
        /// Bucket that is reissued.
        bucket: u16,
        /// Number of the completed round.
        round: u64,
    },
}
