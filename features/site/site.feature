Feature: A complete small site serves real requests

  Scenario: Every kind of request is served and every check of the demonstration passes
    Given a site with 2 routers and the sample configurations
    When every kind of request is sent
    Then every check of the demonstration passes
