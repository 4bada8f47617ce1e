"""Adapter to the users' platform: its settings, store, records and headers.

It only translates names and encodings; all decisions are made in the other packages.
"""

from rudderpass.platform._caches import read_cached_parts as read_cached_parts
from rudderpass.platform._cloud import CloudApi as CloudApi
from rudderpass.platform._dialect import PlatformDialect as PlatformDialect
from rudderpass.platform._records import (
    decode_config as decode_config,
    decode_upstream as decode_upstream,
)
from rudderpass.platform._settings_file import (
    SETTINGS_VARIABLE as SETTINGS_VARIABLE,
    read_settings_file as read_settings_file,
)
from rudderpass.platform._store import (
    CONFIG_KEY as CONFIG_KEY,
    CONFIG_TOPIC as CONFIG_TOPIC,
    DUTIES_TOPIC as DUTIES_TOPIC,
    EVACUATION_PREFIX as EVACUATION_PREFIX,
    HOSTS_TOPIC as HOSTS_TOPIC,
    ORIGINS_TOPIC as ORIGINS_TOPIC,
    UPSTREAMS_TOPIC as UPSTREAMS_TOPIC,
    KeyedStore as KeyedStore,
)
