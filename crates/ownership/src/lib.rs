//! Parts for agreeing on owners through a key-value store that only offers compare-and-swap.
//!
//! Everything here is a value or a pure transition: the caller carries out the store calls. The
//! daemons use these functions, and so does the state exploration of the protocol, so what is
//! explored is what runs. Nothing depends on this scheduler's tables, so another program can
//! embed the crate.

mod budget;
mod fence;
mod isolation;
mod journal;
mod lapse;
mod piece;
mod proof;
mod record;
mod rendezvous;
mod resubmission;
mod roster;
mod swap;
mod takeover;

pub use {
    budget::TokenBucket,
    fence::{EpochFence, FenceOutcome},
    isolation::{MemberStanding, StandingInput, evaluate_standing, has_later_read},
    journal::{FoundSegment, JournalSegment, JournalStep, JournalWriter, SegmentError},
    lapse::{SilenceInput, lease_expiry},
    piece::{ParsePieceError, PieceName},
    proof::{
        MissingTaskStep, VoidOutcome, is_provably_unstarted, resolve_missing_task,
        resolve_void_attempt,
    },
    record::{MemberRecord, OwnerRecord, RecordError},
    rendezvous::suggest_owner,
    resubmission::{SubmissionInput, SubmissionStep, classify_submission, may_have_run},
    roster::MemberRoster,
    swap::{SwapOutcome, VersionStamp, classify_swap},
    takeover::{PieceStep, PieceView, next_piece_step},
};
