Feature: Listeners and clients use the TLS files in the settings

  Background:
    Given a certificate authority and a certificate for 127.0.0.1

  Scenario: Callers and peers reach a site over TLS
    When a site is started with TLS for callers, operators and peers
    Then a caller that trusts the authority gets a response
    And a caller that doesn't trust the authority rejects the certificate
    And the first router has the second as a live member
    And a peer without a certificate is refused

  Scenario: A new certificate is loaded without a restart
    When a site is started with TLS for callers, operators and peers
    And the certificate and its key are replaced
    Then a caller sees the new certificate

  Scenario: An invalid certificate file leaves the old certificate in use
    When a site is started with TLS for callers, operators and peers
    And the certificate file is overwritten with garbage
    Then a caller that trusts the authority gets a response
