"""TLS contexts of listeners and clients, reloaded when their files change."""

import logging
import os
import ssl

logger = logging.getLogger(__name__)

CHECK_PERIOD_MS = 5_000


class TlsContexts:
    """SSL contexts by purpose; None where the settings name no files.

    `callers`, `operators` and `peer_listener` are for listeners; `peer_client`,
    `platform` and `backends` are for clients.
    """

    __slots__ = (
        "callers",
        "operators",
        "peer_listener",
        "peer_client",
        "platform",
        "backends",
        "_loaders_by_path",
        "_mtimes_by_path",
    )

    def __init__(self):
        self.callers = None
        self.operators = None
        self.peer_listener = None
        self.peer_client = None
        self.platform = None
        self.backends = None
        self._loaders_by_path = {}
        self._mtimes_by_path = {}

    @classmethod
    def from_settings(cls, settings):
        """Load every file that the settings name."""
        contexts = cls()
        contexts.callers = contexts._build_listener(settings.listen_tls)
        contexts.operators = contexts._build_listener(settings.operator_tls)
        contexts.peer_listener = contexts._build_listener(settings.peer_tls)
        contexts.peer_client = contexts._build_client(
            settings.peer_tls.get("authority", "")
        )
        if contexts.peer_client is not None:
            contexts._load_identity(contexts.peer_client, settings.peer_tls)
        contexts.platform = contexts._build_client(settings.platform_authority)
        contexts.backends = contexts._build_client(settings.backend_authority)
        return contexts

    async def run(self, clock):
        """Reload changed files until cancelled."""
        while True:
            await clock.sleep_until(clock.now_ms() + CHECK_PERIOD_MS)
            self.reload_changed()

    def reload_changed(self):
        """Load changed files; after an error the old contents stay in use."""
        for path, loaders in self._loaders_by_path.items():
            mtime_ns = _read_mtime_ns(path)
            if mtime_ns == self._mtimes_by_path[path]:
                continue
            try:
                for load in loaders:
                    load()
            except (OSError, ssl.SSLError) as error:
                logger.error(
                    "tls.reload-failed", extra={"path": path, "why": str(error)}
                )
                continue
            self._mtimes_by_path[path] = mtime_ns
            logger.info("tls.reloaded", extra={"path": path})

    def _build_listener(self, files):
        if not files:
            return None
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        self._load_identity(context, files)
        if "authority" in files:
            context.verify_mode = ssl.CERT_REQUIRED
            self._load_authority(context, files["authority"])
        return context

    def _build_client(self, authority):
        if not authority:
            return None
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        self._load_authority(context, authority)
        return context

    def _load_identity(self, context, files):
        certificate = files["certificate"]
        key = files["key"]

        def load():
            context.load_cert_chain(certificate, key)

        load()
        self._watch(certificate, load)
        self._watch(key, load)

    def _load_authority(self, context, path):
        def load():
            context.load_verify_locations(path)

        load()
        self._watch(path, load)

    def _watch(self, path, load):
        self._loaders_by_path.setdefault(path, []).append(load)
        self._mtimes_by_path[path] = _read_mtime_ns(path)


def url_scheme(context):
    """Return the URL scheme for an SSL context; None means no TLS."""
    return "http" if context is None else "https"


def _read_mtime_ns(path):
    try:
        return os.stat(path).st_mtime_ns
    except OSError:
        return None
