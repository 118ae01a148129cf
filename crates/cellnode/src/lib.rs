//! The daemon that hosts the scheduler core of a cell: leader election, durable state, connections
//! between daemons and the requests of callers. External systems are traits that an adapter
//! implements.

mod call_table;
mod clock;
mod ended_reader;
mod entry;
mod external;
mod fencing_token;
mod follow;
mod forward_choice;
mod forward_frame;
mod forward_router;
mod forward_session;
mod frame;
mod frame_age;
mod guard;
mod job_sink;
mod lane_writer;
mod leader;
mod leader_connection;
mod leader_event;
mod leadership_status;
mod leadership_transfer;
mod lease_keeper;
mod link_meter;
mod node;
mod open_terms;
mod payload_cache;
mod payload_store;
mod peer_admission;
mod peer_gate;
mod request_number;
mod row_update;
mod rows;
mod running_list;
mod session_registry;
mod store_contact;
mod store_regain;
mod stored_jobs;
mod submission_limits;
mod submission_space;
mod term_closer;
mod unasked_jobs;
mod won_election;
mod worker_sink;
mod write_frame;

pub use {
    clock::{boot_ms, unix_ms},
    entry::{EntryAccess, EntryError, EntryService},
    external::{
        AdviserGateway, CellStore, PlatformCodec, StoreError, StoreItem, StorePage, StorePut,
        StoreTransaction, TransactionOutcome, WorkerGateway,
    },
    link_meter::{LinkMeter, LinkPurpose},
    node::{CellNode, CellNodeConfig, OutsideLinks},
    peer_admission::PeerLimits,
};
