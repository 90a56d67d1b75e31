use {
    super::{
        Series,
        accounts::account_series,
        load::{backlog_series, work_series},
        peers::peer_series,
    },
    serde::{Deserialize, Serialize},
};

/// Everything measured for the capacity page.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Slopes {
    pub series: Vec<Series>,
}

impl Slopes {
    /// The series with this name.
    pub fn get(
        &self,
        name: &str,
    ) -> &Series {
        self.series
            .iter()
            .find(|series| series.name == name)
            .unwrap_or_else(|| panic!("no series {name}: measure the slopes anew"))
    }
}

/// Measures the series of configured accounts alone.
pub async fn measure_accounts() -> Slopes {
    Slopes {
        series: account_series().await,
    }
}

/// Measures every series, one thing varied at a time.
pub async fn measure_slopes() -> Slopes {
    let mut series = account_series().await;
    series.extend(work_series().await);
    series.extend(backlog_series().await);
    series.extend(peer_series().await);
    Slopes { series }
}
