//! Parsing of arguments that several commands share.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::path::PathBuf;

use pico_args::Arguments;
use sedgeridge_state::settings::Override;
use sedgeridge_state::settings::Settings;
use sedgeridge_transport::settings_files::SettingsTexts;
use sedgeridge_transport::settings_files::overlay_path;

use crate::error::CommandError;

/// Settings files named on the command line: `FILE [--site NAME | --overlay FILE] [--set ...]`.
#[derive(Debug)]
pub struct SettingsArguments {
    /// Base file.
    pub base: PathBuf,
    /// Overlay, given by `--overlay` or derived from `--site`.
    pub overlay: Option<PathBuf>,
    /// Overrides, in the order given.
    pub overrides: Vec<Override>,
    site: Option<String>,
}

impl SettingsArguments {
    /// Takes the arguments; the base file must be the last positional argument.
    pub fn take(arguments: &mut Arguments) -> Result<Self, CommandError> {
        let site: Option<String> = arguments.opt_value_from_str("--site")?;
        let overlay: Option<PathBuf> = arguments.opt_value_from_str("--overlay")?;
        let sets: Vec<String> = arguments.values_from_str("--set")?;
        let overrides = sets.iter().map(|set| Override::parse(set));
        let overrides = overrides
            .collect::<Result<Vec<_>, _>>()
            .map_err(|error| CommandError::Usage(error.to_string()))?;
        if site.is_some() && overlay.is_some() {
            return Err(CommandError::Usage(
                "give --site or --overlay, not both".into(),
            ));
        }
        let base: PathBuf = take_file(arguments)?;
        let overlay = overlay.or_else(|| Some(overlay_path(&base, site.as_ref()?)));
        Ok(Self {
            base,
            overlay,
            overrides,
            site,
        })
    }

    /// Reads the files.
    pub fn read(&self) -> Result<SettingsTexts, CommandError> {
        Ok(SettingsTexts::read(&self.base, self.overlay.as_deref())?)
    }

    /// Reads, loads and checks the files, and checks that the site exists.
    pub fn load(&self) -> Result<Settings, CommandError> {
        let settings = self.read()?.load(&self.overrides)?;
        self.check_site(&settings)?;
        Ok(settings)
    }

    fn check_site(&self, settings: &Settings) -> Result<(), CommandError> {
        let Some(site) = &self.site else {
            return Ok(());
        };
        if settings.sites.iter().any(|known| known.id.as_str() == site) {
            return Ok(());
        }
        let known: Vec<&str> = settings.sites.iter().map(|s| s.id.as_str()).collect();
        Err(CommandError::BadInput(format!(
            "error: expected the name of a [site.NAME] section, found `{site}`\n  hint: known: {}",
            known.join(", ")
        )))
    }

    /// Returns the file names as text for a message.
    pub fn describe(&self) -> String {
        match &self.overlay {
            Some(overlay) => format!("{} with {}", self.base.display(), overlay.display()),
            None => self.base.display().to_string(),
        }
    }
}

/// Takes a file name from the positional arguments.
pub fn take_file(arguments: &mut Arguments) -> Result<PathBuf, CommandError> {
    let file = arguments.free_from_os_str(|text| Ok::<_, Infallible>(PathBuf::from(text)));
    match file {
        Ok(file) => Ok(file),
        Err(pico_args::Error::MissingArgument) => {
            Err(CommandError::Usage("expected a FILE".into()))
        }
        Err(error) => Err(error.into()),
    }
}

/// Takes the address of the table service.
pub fn take_table(arguments: &mut Arguments) -> Result<SocketAddr, CommandError> {
    Ok(arguments.value_from_str("--table")?)
}

/// Returns the address of the table service: the one given, otherwise the one in the settings.
pub fn table_address(
    given: Option<SocketAddr>,
    settings: &Settings,
) -> Result<SocketAddr, CommandError> {
    given.or(settings.platform.table_address).ok_or_else(|| {
        CommandError::BadInput(
            "error: no table service: set platform.table_address or give --table".to_owned(),
        )
    })
}

/// Returns an error if any argument was not taken.
pub fn reject_unused(arguments: &mut Arguments) -> Result<(), CommandError> {
    let rest = std::mem::replace(arguments, Arguments::from_vec(Vec::new())).finish();
    match rest.first() {
        None => Ok(()),
        Some(extra) => Err(CommandError::Usage(format!(
            "unexpected argument `{}`",
            extra.to_string_lossy()
        ))),
    }
}

/// Serialises a value as indented JSON that ends with a newline.
pub fn to_json(value: &impl serde::Serialize) -> String {
    let json = serde_json::to_string_pretty(value);
    let mut text = json.expect("rows are plain data with text keys");
    text.push('\n');
    text
}
