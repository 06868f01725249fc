"""TLS contexts from settings, reloaded when their files change."""

from dataclasses import dataclass
import ipaddress
import os
import ssl

from dahliashunt.errors import SettingsError

__all__ = [
    "TlsReloader",
    "TlsSettings",
    "check_plaintext",
    "client_context",
    "server_context",
]

RELOAD_LOOK_MS = 2_000


@dataclass(frozen=True)
class TlsSettings:
    """Certificates of one process.

    Attributes
    ----------
    certificate, key : str
        PEM files of this process; empty means plaintext.
    authority : str
        PEM file of the authority whose certificates peers must show.
    allow_plaintext : bool
        Whether plaintext off the loopback address is wanted.
    """

    certificate: str = ""
    key: str = ""
    authority: str = ""
    allow_plaintext: bool = False

    @property
    def is_on(self) -> bool:
        """Whether certificates are given."""
        return bool(self.certificate)


def server_context(
    settings: TlsSettings, mutual: bool = True
) -> ssl.SSLContext | None:
    """Return the context of a listening socket, or None for plaintext.

    Parameters
    ----------
    settings : TlsSettings
    mutual : bool
        Whether a peer must show a certificate of the authority. Links do;
        callers, who have keys, do not.

    Raises
    ------
    SettingsError
        A file is missing or no certificate.
    """
    if not settings.is_on:
        return None
    try:
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.load_cert_chain(settings.certificate, settings.key)
        if mutual:
            context.load_verify_locations(settings.authority)
            context.verify_mode = ssl.CERT_REQUIRED
    except (OSError, ssl.SSLError) as error:
        raise SettingsError(f"tls: {error}") from None
    return context


def client_context(settings: TlsSettings) -> ssl.SSLContext | None:
    """Return the context of a link that dials, or None for plaintext.

    Instances are met by IP number and replaced at any time, so a peer is
    known by the project's authority, not by its name. The files are read
    at each call, so a new certificate is used from the next dial on.

    Raises
    ------
    SettingsError
        A file is missing or no certificate.
    """
    if not settings.is_on:
        return None
    try:
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        context.check_hostname = False
        context.load_verify_locations(settings.authority)
        context.load_cert_chain(settings.certificate, settings.key)
    except (OSError, ssl.SSLError) as error:
        raise SettingsError(f"tls: {error}") from None
    return context


def check_plaintext(where: str, host: str, settings: TlsSettings, log) -> None:
    """Refuse plaintext off the loopback address unless it is wanted.

    Raises
    ------
    SettingsError
        Plaintext on another address without ``allow_plaintext``.
    """
    if settings.is_on or ipaddress.ip_address(host).is_loopback:
        return
    if not settings.allow_plaintext:
        raise SettingsError(
            f"{where}: {host} is not a loopback address; give certificates "
            "or set tls.allow_plaintext"
        )
    log.warning("plaintext", where=where, host=host)


class TlsReloader:
    """Loads a listening context's certificate again when its file changes.

    Certificates expire; an agent that must be restarted for a new one
    would cut the requests that it runs. A running handshake keeps the old
    certificate, the next one gets the new.

    Parameters
    ----------
    settings : TlsSettings
    context : ssl.SSLContext or None
    clock : Clock
    log : structlog logger
    """

    def __init__(self, settings, context, clock, log):
        self._settings = settings
        self._context = context
        self._clock = clock
        self._log = log
        self._seen = self._stamps()

    async def run(self) -> None:
        """Look for new files until cancelled."""
        if self._context is None:
            return
        while True:
            await self._clock.sleep_ms(RELOAD_LOOK_MS)
            self.look()

    def look(self) -> bool:
        """Reload if a file has changed; return whether it was loaded."""
        stamps = self._stamps()
        if stamps == self._seen:
            return False
        self._seen = stamps
        try:
            self._context.load_cert_chain(
                self._settings.certificate, self._settings.key
            )
            if self._context.verify_mode is ssl.CERT_REQUIRED:
                self._context.load_verify_locations(self._settings.authority)
        except (OSError, ssl.SSLError) as error:
            # Half-written files: the old certificate stays in use.
            self._log.warning("tls_not_reloaded", why=str(error))
            return False
        self._log.info("tls_reloaded")
        return True

    def _stamps(self):
        names = (
            self._settings.certificate,
            self._settings.key,
            self._settings.authority,
        )
        return [
            os.stat(name).st_mtime_ns if os.path.exists(name) else 0
            for name in names
        ]
