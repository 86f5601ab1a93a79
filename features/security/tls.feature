Feature: Listeners and clients use TLS from settings

  Background:
    Given an authority and an identity for 127.0.0.1

  Scenario: Callers and peers reach a site over TLS
    When a site is started with TLS for callers, operators and peers
    Then a caller that trusts the authority gets an answer
    And a caller that trusts nobody is refused
    And the routers know each other
    And a peer without a certificate is refused

  Scenario: A new certificate is taken without a restart
    When a site is started with TLS for callers, operators and peers
    And the identity is replaced by a new one
    Then a caller sees the new certificate

  Scenario: A broken certificate file leaves the old one in use
    When a site is started with TLS for callers, operators and peers
    And the certificate file is overwritten with garbage
    Then a caller that trusts the authority gets an answer
