//! The failures that a run injects.

use std::error::Error;
use std::fmt;
use std::time::Duration;

use balsamfold::connection::ConnectionPool;
use balsamfold::connection::PoolLimits;
use balsamfold::process::configuration::ConfigurationStore;
use balsamfold::process::configuration::WriteOutcome;
use balsamfold::process::platform::PlatformClient;
use balsamfold::process::platform::PlatformSettings;
use balsamfold::values::ConfigVersion;
use balsamfold::version::ChangeId;
use balsamfold::version::Configuration;
use balsamfold::version::KeyState;
use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use rand::Rng;
use rand::rngs::StdRng;
use rustix::process::Signal;
use uuid::Uuid;

use crate::mesh::ProcessFleet;
use crate::platform::Faults;

const CALL_TIMEOUT: Duration = Duration::from_secs(5);
const PLATFORM_DELAY_MS: u64 = 800;
const OPERATOR_COUNT: usize = 4;

/// A failure that is injected into the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// No failure, as the baseline for the others.
    None,
    /// A node is killed; later it and its backend server are replaced.
    KillNode,
    /// A backend server is killed; later it and its node are replaced.
    KillServer,
    /// A node is paused and later resumed.
    PauseNode,
    /// The nodes of a zone cannot reach the platform.
    CutPlatformFromZone,
    /// The platform is down.
    PlatformOutage,
    /// The platform is slow.
    PlatformSlow,
    /// Replies of the platform to writes that took effect are lost.
    PlatformLostReplies,
    /// Several operators change the same version at the same time.
    OperatorRace,
    /// A key is withdrawn while its callers are connected.
    WithdrawKey,
    /// A node makes a planned stop and is replaced.
    PlannedStop,
}

impl FaultKind {
    /// All failures, one after another.
    pub const ALL: [Self; 11] = [
        Self::None,
        Self::KillNode,
        Self::KillServer,
        Self::PauseNode,
        Self::CutPlatformFromZone,
        Self::PlatformOutage,
        Self::PlatformSlow,
        Self::PlatformLostReplies,
        Self::OperatorRace,
        Self::PlannedStop,
        Self::WithdrawKey,
    ];

    /// Pairs of failures that are injected together.
    pub const PAIRS: [(Self, Self); 5] = [
        (Self::KillNode, Self::PlatformOutage),
        (Self::PauseNode, Self::KillServer),
        (Self::PlannedStop, Self::PlatformOutage),
        (Self::KillNode, Self::PauseNode),
        (Self::CutPlatformFromZone, Self::KillServer),
    ];
}

impl fmt::Display for FaultKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::None => "no failure",
            Self::KillNode => "node killed",
            Self::KillServer => "backend server killed",
            Self::PauseNode => "node paused",
            Self::CutPlatformFromZone => "zone cut from platform",
            Self::PlatformOutage => "platform outage",
            Self::PlatformSlow => "platform slow",
            Self::PlatformLostReplies => "platform loses replies",
            Self::OperatorRace => "operators race",
            Self::WithdrawKey => "key withdrawn",
            Self::PlannedStop => "planned stop",
        })
    }
}

/// The action that ends a failure.
#[derive(Clone, Copy, Debug)]
pub enum Recovery {
    /// No action.
    None,
    /// Replaces the node and its backend server.
    Restart(usize),
    /// Waits until the node ends by itself, which must be without error, and replaces it.
    Replace(usize),
    /// Resumes the node.
    Resume(usize),
    /// Switches off all faults of the platform.
    RestorePlatform,
}

impl Recovery {
    /// Returns the index of the node that the failure affects.
    pub fn node(&self) -> Option<usize> {
        match self {
            Self::Restart(index) | Self::Replace(index) | Self::Resume(index) => Some(*index),
            Self::None | Self::RestorePlatform => None,
        }
    }
}

/// Injects a failure. One that affects a node or a zone uses a random node other than `excluded`, or
/// its zone.
pub async fn inject(
    fault: FaultKind,
    fleet: &mut ProcessFleet,
    excluded: Option<usize>,
    random: &mut StdRng,
) -> Result<Recovery, Box<dyn Error>> {
    let index = loop {
        let index = random.random_range(0..fleet.nodes.len());
        if Some(index) != excluded {
            break index;
        }
    };
    let platform = |faults| set_platform_faults(fleet, faults);
    match fault {
        FaultKind::None => Ok(Recovery::None),
        FaultKind::KillNode => {
            fleet.nodes[index].node.signal(Signal::KILL)?;
            Ok(Recovery::Restart(index))
        }
        FaultKind::KillServer => {
            fleet.nodes[index].server.signal(Signal::KILL)?;
            Ok(Recovery::Restart(index))
        }
        FaultKind::PauseNode => {
            fleet.nodes[index].node.signal(Signal::STOP)?;
            Ok(Recovery::Resume(index))
        }
        FaultKind::PlannedStop => {
            fleet.nodes[index].node.signal(Signal::TERM)?;
            Ok(Recovery::Replace(index))
        }
        FaultKind::CutPlatformFromZone => {
            let zone = fleet.nodes[index].zone.parse()?;
            platform(Faults {
                cut_zones: std::iter::once(zone).collect(),
                ..Faults::default()
            })
            .await
        }
        FaultKind::PlatformOutage => {
            platform(Faults {
                is_down: true,
                ..Faults::default()
            })
            .await
        }
        FaultKind::PlatformSlow => {
            platform(Faults {
                delay_ms: PLATFORM_DELAY_MS,
                ..Faults::default()
            })
            .await
        }
        FaultKind::PlatformLostReplies => {
            platform(Faults {
                lost_swap_replies: 5,
                ..Faults::default()
            })
            .await
        }
        FaultKind::OperatorRace => {
            race_operators(fleet).await?;
            Ok(Recovery::None)
        }
        FaultKind::WithdrawKey => {
            change_configuration(fleet, withdraw_last_key).await?;
            Ok(Recovery::None)
        }
    }
}

/// Ends a failure with its recovery action.
pub async fn recover(recovery: Recovery, fleet: &mut ProcessFleet) -> Result<(), Box<dyn Error>> {
    match recovery {
        Recovery::None => Ok(()),
        Recovery::Restart(index) => fleet.restart(index),
        Recovery::Replace(index) => match fleet.nodes[index].node.wait()? {
            true => fleet.restart(index),
            false => Err("planned stop of a node ended with an error".into()),
        },
        Recovery::Resume(index) => Ok(fleet.nodes[index].node.signal(Signal::CONT)?),
        Recovery::RestorePlatform => {
            set_platform_faults(fleet, Faults::default()).await?;
            Ok(())
        }
    }
}

async fn set_platform_faults(
    fleet: &ProcessFleet,
    faults: Faults,
) -> Result<Recovery, Box<dyn Error>> {
    let limits = PoolLimits {
        connections_max: 1,
        connect_timeout_ms: 1_000,
        idle_timeout_ms: 1_000,
        response_bytes_max: 64 * 1_024,
    };
    let pool = ConnectionPool::new(fleet.platform_address, limits);
    let request = balsamfold::connection::BufferedRequest {
        method: Method::PUT,
        uri: "/v1/faults".parse()?,
        headers: HeaderMap::new(),
        body: Bytes::from(serde_json::to_vec(&faults)?),
    };
    let response = pool.exchange(request, CALL_TIMEOUT).await?;
    match response.status.is_success() {
        true => Ok(Recovery::RestorePlatform),
        false => Err(format!(
            "platform refused the faults with status {}",
            response.status
        )
        .into()),
    }
}

/// Several operators write different changes of the same version; exactly one must succeed.
async fn race_operators(fleet: &ProcessFleet) -> Result<(), Box<dyn Error>> {
    let client = PlatformClient::new(&PlatformSettings::new(fleet.platform_address));
    let store = ConfigurationStore::new(&client, 1);
    let base = store.read().await?.ok_or("no configuration is stored")?;
    let changes: Vec<Configuration> = (0..OPERATOR_COUNT)
        .map(|_| next_version(&base.configuration))
        .collect();
    let writes = changes
        .iter()
        .map(|next| store.write(Some(base.revision), next));
    let outcomes = futures::future::join_all(writes).await;
    let winners = outcomes
        .iter()
        .filter(|outcome| matches!(outcome, Ok(WriteOutcome::Done)))
        .count();
    match winners {
        1 => Ok(()),
        _ => Err(
            format!("{winners} of {OPERATOR_COUNT} concurrent changes succeeded, expected 1")
                .into(),
        ),
    }
}

/// Applies `edit` to the stored configuration and writes it as the next version, which it returns.
pub async fn change_configuration(
    fleet: &ProcessFleet,
    edit: impl Fn(Configuration) -> Configuration,
) -> Result<ConfigVersion, Box<dyn Error>> {
    let client = PlatformClient::new(&PlatformSettings::new(fleet.platform_address));
    let store = ConfigurationStore::new(&client, 1);
    let base = store.read().await?.ok_or("no configuration is stored")?;
    let next = edit(next_version(&base.configuration));
    match store.write(Some(base.revision), &next).await {
        Ok(WriteOutcome::Done) => Ok(next.version),
        outcome => Err(format!("the change was not accepted: {outcome:?}").into()),
    }
}

fn next_version(current: &Configuration) -> Configuration {
    Configuration {
        version: ConfigVersion(current.version.0 + 1),
        change_id: ChangeId(Uuid::new_v4()),
        ..current.clone()
    }
}

/// Withdraws the key that is last by name.
fn withdraw_last_key(mut configuration: Configuration) -> Configuration {
    if let Some(mut last) = configuration.keys.last_entry() {
        last.get_mut().state = KeyState::Withdrawn;
    }
    configuration
}
