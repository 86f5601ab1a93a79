Feature: A whole small site answers real requests

  Scenario: Every kind of request is served and every promise is kept
    Given a site with 2 routers and the sample configurations
    When every kind of request is sent
    Then every promise is kept
