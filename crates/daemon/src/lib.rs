//! The daemon around the scheduler core: sockets, settings, logs, metrics and signals.
//!
//! All scheduling decisions are made in the core. [`DaemonServer`] passes inputs to the core and
//! carries out the actions that it returns, so that another program can embed a whole daemon, and a
//! test can run a scripted core behind the same sockets.

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
    platform::PlatformLinks,
    server::{DaemonAddresses, DaemonControl, DaemonServer},
    settings::{
        IntervalSettings, LimitSettings, LogFormat, LogSettings, LogThreshold, MetricsSettings,
        OperatorKey, SettingsDocument, SettingsError, SettingsFault, parse_settings,
        settings_schema,
    },
    signals::SignalWatch,
};
