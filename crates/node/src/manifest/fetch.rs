//! Reads the manifest and puts it in force in this process.
//!
//! The head, which is followed in the store, identifies the content of each section. Only sections
//! that differ are read, so the cost of a change depends on its own size. A daemon that cannot
//! reach the store gets the whole manifest from a peer whose heartbeat shows a later version. The
//! version in force only increases, whatever the source.

use {
    crate::{
        LogLevel, NodeConfig,
        buffer::ActionBuffer,
        view::{ClusterView, VersionedManifest},
    },
    damaskrack_manifest::{
        KeyIndex, ManifestDocument, ManifestHead, ManifestSection, parse_manifest, replace_section,
        section_hash, section_json, section_key,
    },
    damaskrack_model::{ClockTime, MemberName},
    damaskrack_outside::{StoreCall, StoreError, StoreReply},
    damaskrack_wire::PeerMessage,
    rustc_hash::FxHashMap,
};

/// Delay after a failed read and between two requests to peers, in milliseconds.
const RETRY_MS: u64 = 300;

/// A manifest that is being read section by section.
#[derive(Debug)]
struct PendingManifest {
    head: ManifestHead,
    document: ManifestDocument,
    reads: FxHashMap<u64, ManifestSection>,
    has_failed: bool,
}

/// Reads the manifest from the store or from a peer.
#[derive(Debug)]
pub(crate) struct ManifestReader {
    /// Latest head seen in the store, with its revision.
    head: Option<(ManifestHead, u64)>,
    pending: Option<PendingManifest>,
    retry_at: ClockTime,
    next_pull_at: ClockTime,
}

impl ManifestReader {
    pub(crate) fn new() -> Self {
        Self {
            head: None,
            pending: None,
            retry_at: ClockTime::default(),
            next_pull_at: ClockTime::default(),
        }
    }

    /// Returns the revision of the head key; 0 if there is none.
    pub(crate) fn head_revision(&self) -> u64 {
        self.head.as_ref().map_or(0, |(_, revision)| *revision)
    }

    /// Returns the version of the head in the store; 0 if there is none.
    pub(crate) fn head_version(&self) -> u64 {
        self.head.as_ref().map_or(0, |(head, _)| head.version)
    }

    /// Returns whether a manifest is in force and the store has no later one as far as is known.
    pub(crate) fn is_current(&self, view: &ClusterView) -> bool {
        view.manifest.version > 0 && view.manifest.version >= self.head_version()
    }

    /// Handles a changed head.
    pub(crate) fn on_head(&mut self, value: Option<&str>, revision: u64) {
        if let Some(head) = value.and_then(|text| ManifestHead::from_json(text).ok()) {
            self.head = Some((head, revision));
        }
    }

    /// Starts to read the sections of a later head, or requests a later manifest from a peer.
    pub(crate) fn tick(
        &mut self,
        view: &mut ClusterView,
        config: &NodeConfig,
        out: &mut ActionBuffer,
    ) {
        self.pull_from_peer(view, out);
        let Some((head, _)) = &self.head else { return };
        if head.version == view.manifest.version && view.manifest.head.sections.is_empty() {
            // The manifest came from a peer, which does not send the section ids.
            view.manifest.head = head.clone();
        }
        let wanted = self.pending.as_ref().map_or(view.manifest.version, |p| p.head.version);
        if head.version <= wanted || view.now < self.retry_at {
            return;
        }
        let mut reads = FxHashMap::default();
        for section in ManifestSection::ALL {
            let id = head.sections.get(section.name());
            if id != view.manifest.head.sections.get(section.name())
                && let Some(id) = id
            {
                let key = section_key(section, id);
                reads.insert(out.store(StoreCall::Get { key }, config.store_timeout_ms), section);
            }
        }
        let document = view.manifest.document.clone();
        let pending = PendingManifest { head: head.clone(), document, reads, has_failed: false };
        self.pending = Some(pending);
        self.finish(view, out);
    }

    /// Returns whether a store call belongs to the reader.
    pub(crate) fn owns_call(&self, call: u64) -> bool {
        self.pending.as_ref().is_some_and(|pending| pending.reads.contains_key(&call))
    }

    /// Handles the result of reading a section.
    pub(crate) fn on_store(
        &mut self,
        call: u64,
        result: Result<StoreReply, StoreError>,
        view: &mut ClusterView,
        out: &mut ActionBuffer,
    ) {
        let Some(pending) = &mut self.pending else { return };
        let Some(section) = pending.reads.remove(&call) else { return };
        let json = match result {
            Ok(StoreReply::Entries { entries, .. }) => entries.into_iter().next(),
            _ => None,
        };
        let is_stored = json.is_some_and(|entry| {
            replace_section(&mut pending.document, section, &entry.value).is_ok()
        });
        pending.has_failed |= !is_stored;
        self.finish(view, out);
    }

    fn finish(&mut self, view: &mut ClusterView, out: &mut ActionBuffer) {
        let Some(pending) = self.pending.take_if(|pending| pending.reads.is_empty()) else {
            return;
        };
        if pending.has_failed {
            self.retry_at = view.now.plus(RETRY_MS);
            return;
        }
        put_in_force(view, pending.head, pending.document, out);
    }

    fn pull_from_peer(&mut self, view: &ClusterView, out: &mut ActionBuffer) {
        let have = view.manifest.version;
        let is_reading = self.pending.is_some() || self.head_version() > have;
        if view.now < self.next_pull_at || is_reading {
            return;
        }
        let peer = view.members.iter().find(|(_, entry)| entry.version > have);
        if let Some((member, _)) = peer {
            self.next_pull_at = view.now.plus(RETRY_MS);
            out.send(member, PeerMessage::ManifestPull { have });
        }
    }

    /// Handles a peer's request for a later manifest.
    pub(crate) fn on_pull(
        &self,
        from: &MemberName,
        have: u64,
        view: &ClusterView,
        out: &mut ActionBuffer,
    ) {
        if view.manifest.version <= have {
            return;
        }
        let json = serde_json::to_string(&view.manifest.document).unwrap_or_default();
        out.send(from, PeerMessage::ManifestPush { version: view.manifest.version, json });
    }

    /// Handles a manifest that a peer sent.
    pub(crate) fn on_push(
        &mut self,
        version: u64,
        json: &str,
        view: &mut ClusterView,
        out: &mut ActionBuffer,
    ) {
        let Ok(document) = parse_manifest(json) else { return };
        let head = ManifestHead { version, change: 0, ..ManifestHead::default() };
        put_in_force(view, head, document, out);
    }
}

/// Returns the id under which a section's content is stored for a version.
///
/// It includes the version, so that content which returns to an earlier form gets a new key, which
/// the deletion of the former key does not affect.
pub(crate) fn section_id(version: u64, json: &str) -> String {
    format!("{version:x}-{}", section_hash(json))
}

/// Puts a manifest in force if it is later than the current one.
fn put_in_force(
    view: &mut ClusterView,
    head: ManifestHead,
    document: ManifestDocument,
    out: &mut ActionBuffer,
) {
    if head.version <= view.manifest.version {
        return;
    }
    let keys = KeyIndex::new(&document.keys);
    out.log(LogLevel::Info, "manifest_in_force", &[("version", &head.version)]);
    view.manifest = VersionedManifest { version: head.version, head, document, keys };
    let (me, version) = (view.me.clone(), view.manifest.version);
    if let Some(entry) = view.members.get_mut(&me) {
        entry.version = version;
    }
}

/// Returns the sections of a document that differ from the current manifest, with their content.
pub(crate) fn changed_sections(
    view: &ClusterView,
    document: &ManifestDocument,
) -> Vec<(ManifestSection, String)> {
    ManifestSection::ALL
        .into_iter()
        .map(|section| (section, section_json(document, section)))
        .filter(|(section, json)| {
            let is_stored = view.manifest.head.sections.contains_key(section.name());
            !is_stored || section_json(&view.manifest.document, *section) != *json
        })
        .collect()
}
