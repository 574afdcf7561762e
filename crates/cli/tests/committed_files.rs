//! Committed files that must agree with the code: the reference page and the example settings.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;
use std::path::PathBuf;

use sedgeridge_state::config_document::ConfigDocument;
use sedgeridge_state::settings::Settings;
use sedgeridge_state::settings::reference;
use sedgeridge_transport::settings_files::overlay_path;
use sedgeridge_transport::settings_files::read_settings;
use yare::parameterized;

fn repository_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

#[test]
fn reference_page_matches_the_schema() {
    let committed = fs::read_to_string(repository_root().join("docs/settings.md")).unwrap();

    assert!(
        committed == reference::reference_page(),
        "docs/settings.md differs; run `sedgeridge config reference > docs/settings.md`"
    );
}

#[parameterized(
    small = { "small", 1, 3, 6, 6 },
    luce = { "luce", 3, 6, 12, 16 },
    malardalen = { "malardalen", 4, 6, 22, 16 },
)]
fn example_settings_load_at_every_site(
    deployment: &str,
    sites: usize,
    hosts: usize,
    endpoints: usize,
    accounts: usize,
) {
    let directory = repository_root().join("config").join(deployment);
    let base = directory.join("base.ini");
    let settings = load(&base, None);
    assert_eq!(settings.sites.len(), sites);
    assert_eq!(settings.hosts.len(), hosts);
    assert_eq!(settings.endpoints.len(), endpoints);
    assert_eq!(settings.accounts.len(), accounts);

    let mut expected_files = BTreeSet::from(["base.ini".to_owned()]);
    for site in &settings.sites {
        let overlay = overlay_path(&base, site.id.as_str());
        load(&base, Some(&overlay));
        expected_files.insert(overlay.file_name().unwrap().to_str().unwrap().to_owned());
    }
    let files = fs::read_dir(&directory).unwrap();
    let files: BTreeSet<String> = files
        .map(|file| file.unwrap().file_name().into_string().unwrap())
        .collect();
    assert_eq!(files, expected_files);
}

/// The accepted configuration keeps sections in order of name. Otherwise it must load the same
/// settings as the files that it was made from.
#[parameterized(
    small = { "small" },
    luce = { "luce" },
    malardalen = { "malardalen" },
)]
fn an_accepted_configuration_loads_like_its_files(deployment: &str) {
    let base = repository_root()
        .join("config")
        .join(deployment)
        .join("base.ini");
    let base_text = fs::read_to_string(&base).unwrap();
    for site in load(&base, None).sites {
        let site = site.id.as_str();
        let overlay = overlay_path(&base, site);
        let overlay_text = fs::read_to_string(&overlay).unwrap();
        let document = ConfigDocument::from_texts(&base_text, &[(site, &overlay_text)]);
        let accepted = document.settings(site).unwrap();

        assert_eq!(
            sorted_by_id(accepted),
            sorted_by_id(load(&base, Some(&overlay)))
        );
    }
}

fn sorted_by_id(mut settings: Settings) -> Settings {
    settings.sites.sort_by(|a, b| a.id.cmp(&b.id));
    settings.hosts.sort_by(|a, b| a.id.cmp(&b.id));
    settings.pools.sort_by(|a, b| a.id.cmp(&b.id));
    settings.services.sort_by(|a, b| a.id.cmp(&b.id));
    settings.endpoints.sort_by(|a, b| a.id.cmp(&b.id));
    settings.accounts.sort_by(|a, b| a.id.cmp(&b.id));
    settings
}

fn load(base: &Path, overlay: Option<&Path>) -> Settings {
    read_settings(base, overlay, &[]).unwrap_or_else(|error| panic!("{error}"))
}
