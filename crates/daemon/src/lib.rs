//! The daemon around the scheduler core: sockets, settings, logs, metrics and signals.
//!
//! Nothing here decides anything about work. [`DaemonServer`] ticks the core with what arrives
//! and carries out what it returns, so another program can embed a whole daemon, and a test can
//! put a scripted core behind the same sockets.

mod calls;
mod clock;
mod config;
mod control;
mod core;
mod dispatcher;
mod driver;
mod http;
mod inbox;
mod links;
mod logs;
mod metrics;
mod platform;
mod server;
mod settings;
mod signals;

pub use {
    config::DaemonConfig,
    core::NodeCore,
    logs::DaemonLog,
    platform::PlatformClients,
    server::{DaemonAddresses, DaemonControl, DaemonServer},
    settings::{
        IntervalSettings, LimitSettings, LogFormat, LogSettings, LogThreshold, MetricsSettings,
        OperatorKey, SettingsDocument, SettingsError, SettingsFault, parse_settings,
        settings_schema,
    },
    signals::SignalWatch,
};
