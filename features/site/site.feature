Feature: A small local site serves all kinds of requests

  Scenario: Every kind of request is served and every guarantee is met
    Given a site with 2 routers and the sample configurations
    When every kind of request is sent
    Then every guarantee is met
