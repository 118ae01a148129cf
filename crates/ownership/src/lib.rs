//! Ownership protocol: how daemons agree on owners through a key-value store that offers only
//! compare-and-swap.
//!
//! Everything here is a value or a pure state transition; the caller carries out the store calls.
//! The daemons and the model checker of the protocol use the same functions, so the code that is
//! checked is the code that runs. Nothing depends on this scheduler's tables, so another program
//! can embed the crate.

mod fence;
mod isolation;
mod journal;
mod lease_expiry;
mod piece;
mod proof;
mod record;
mod rendezvous;
mod resubmission;
mod roster;
mod swap;
mod takeover;
mod token_bucket;

pub use {
    fence::{EpochFence, FenceOutcome},
    isolation::{MemberStanding, StandingInput, evaluate_standing, has_later_read},
    journal::{FoundSegment, JournalSegment, JournalStep, JournalWriter, SegmentError},
    lease_expiry::{SilenceInput, lease_expiry},
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
    token_bucket::TokenBucket,
};
